package madderrudder.coordination.registry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.RunTimes;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.EstimatePages;
import madderrudder.estimates.EstimatePages.Refused;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.Estimator.ClassSummary;
import madderrudder.estimates.TaskRun;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Run times learned from what has run, kept in the store so that the next leader goes on from
 * there.
 */
public final class LearnedRunTimes implements RunTimes {
  private static final Logger LOG = LoggerFactory.getLogger(LearnedRunTimes.class);

  /**
   * Memory: with as many jobs and the names of 1,500 machines about 5 MB of the smallest
   * controller's 64 MB heap.
   */
  private static final int MOST_KINDS = 500;

  private static final int MOST_JOBS = 500;

  /**
   * Few enough that all are written within a minute, one at a time: a new leader lacks no more than
   * that, and the store sees one write in ten seconds of the dozens it takes in each.
   */
  private static final int PAGES = 6;

  private static final long PAGE_MICROS = 10_000_000;
  private static final int PAGE_TEXT_BYTES = 15 * 1024;

  /** Of a page, beside its text. */
  private static final int PAGE_HEAD_BYTES = 64;

  /** For so long an answer is good; the picture asks for each job that waits at each plan. */
  private static final long ANSWER_MICROS = 2_000_000;

  private static final double SHARE = 0.8;
  private static final int MOST_CLASSES = 50;

  private final LeaderTerm term;
  private final Estimator estimator = new Estimator(MOST_KINDS, MOST_JOBS);
  private final EstimatePages pages;
  private int next;

  LearnedRunTimes(LeaderTerm term) {
    this.term = term;
    int most = Math.min(PAGE_TEXT_BYTES, term.deployment.state().valueBytes()) - PAGE_HEAD_BYTES;
    pages = new EstimatePages(estimator, PAGES, most);
  }

  /**
   * Takes over what earlier leaders have learned. A page that can't be read is left out: learning
   * afresh costs precision for a while, a failed take-over would cost everything.
   */
  public void load(List<Item> items) {
    for (Item item : items) {
      try {
        pages.read(item.value().text("d"));
      } catch (MalformedMessageException | Refused e) {
        LOG.info(
            "{} of run times is left out, they are learned afresh: {}", item.key(), e.getMessage());
      }
    }
    LOG.info("run times of {} kinds of tasks are known", estimator.size());
  }

  /** Begins to keep in the store what is learned. */
  public void keep() {
    term.every(
        PAGE_MICROS,
        () -> {
          int page = pages.nextChanged(next);
          if (page >= 0) {
            next = (page + 1) % PAGES;
            term.commits.add(new PageChange(page), Urgency.LATER);
          }
        });
  }

  @Override
  public void observe(TaskRun run) {
    if (estimator.observe(run)) {
      pages.changed(run.profile());
    }
  }

  private Estimate of(Job job) {
    long now = term.scheduler.nowMicros();
    if (job.expected == null || now - job.expected.askedMicros() >= ANSWER_MICROS) {
      EstimateQuery question =
          new EstimateQuery(job.profile, job.spec.estimateMicros(), "", 0, SHARE);
      Estimate estimate = estimator.estimate(question);
      if (job.expected == null && LOG.isDebugEnabled()) {
        LOG.debug(
            "{} of {} is expected to take {} ms ({} to {}): {}",
            job.spec.id(),
            job.spec.jobClass(),
            estimate.medianMicros() / 1000,
            estimate.lowMicros() / 1000,
            estimate.highMicros() / 1000,
            estimator.explain(question));
      }
      job.expected = new Expected(estimate, now);
    }
    return job.expected.estimate();
  }

  @Override
  public long expectedMicros(Job job) {
    return of(job).medianMicros();
  }

  @Override
  public long upperBoundMicros(Job job) {
    return of(job).highMicros();
  }

  @Override
  public long remainingMicros(Assignment assignment, long nowMicros) {
    long ran = RunTimes.ranMicros(assignment, nowMicros);
    JobSpec spec = assignment.job.spec;
    long whole =
        estimator
            .estimate(
                new EstimateQuery(
                    assignment.job.profile,
                    spec.estimateMicros(),
                    assignment.machine.type.name(),
                    ran,
                    SHARE))
            .medianMicros();
    // Of one that runs for longer than anything like it nothing is known.
    return whole > ran ? whole - ran : ran;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    if (assignment.runningMicros < 0 || assignment.job.spec.kind() == JobKind.SERVICE) {
      return false;
    }
    // Only of what has not come to its lower bound yet: what runs on just below its upper one
    // mostly outlasts it.
    long ran = RunTimes.ranMicros(assignment, nowMicros);
    Estimate estimate = of(assignment.job);
    return ran <= estimate.lowMicros() && estimate.highMicros() - ran <= withinMicros;
  }

  /** For operators: what is known of each class, and how well it held. */
  public void write(JsonGenerator out) throws IOException {
    out.writeObjectFieldStart("run_times");
    out.writeNumberField("kinds", estimator.size());
    List<IOException> failed = new ArrayList<>();
    estimator
        .counts()
        .each(
            (name, count) -> {
              try {
                out.writeNumberField(name, count);
              } catch (IOException e) {
                failed.add(e);
              }
            });
    if (!failed.isEmpty()) {
      throw failed.get(0);
    }
    out.writeObjectFieldStart("ratio_to_guess");
    for (ClassSummary known : estimator.classes(MOST_CLASSES)) {
      out.writeObjectFieldStart(known.jobClass());
      out.writeNumberField("runs", known.runs());
      out.writeNumberField("low", known.low());
      out.writeNumberField("median", known.median());
      out.writeNumberField("high", known.high());
      out.writeNumberField("share", known.share());
      out.writeEndObject();
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  /** Rendered when it is written, so that it says what is known then. */
  private final class PageChange implements PendingChange {
    private final int page;

    PageChange(int page) {
      this.page = page;
    }

    @Override
    public String name() {
      return Keys.runTimes(page);
    }

    @Override
    public List<Write> writes() {
      String text = pages.write(page);
      return List.of(Write.put(name(), Json.object(out -> out.writeStringField("d", text))));
    }

    @Override
    public void committed() {
      LOG.debug("{} kept", name());
    }
  }
}
