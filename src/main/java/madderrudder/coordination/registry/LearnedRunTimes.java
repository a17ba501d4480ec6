package madderrudder.coordination.registry;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.RunTimes;
import madderrudder.estimates.ClassSummary;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.EstimatePages;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.MalformedPageException;
import madderrudder.estimates.TaskRun;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.StoreCodec.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Run times learned from the tasks that have run, stored page by page so that the next leader
 * continues from there. Confined to the event loop thread.
 */
public final class LearnedRunTimes implements RunTimes {
  private static final Logger LOG = LoggerFactory.getLogger(LearnedRunTimes.class);

  /**
   * Limits memory: with as many jobs and the names of 1,500 machines it takes about 5 MB of the
   * smallest controller's 64 MB heap.
   */
  private static final int MAX_KINDS = 500;

  private static final int MAX_JOBS = 500;

  /**
   * Few enough that all are written within a minute, one at a time: a new leader lacks at most the
   * last minute, and the store gets one write in ten seconds, of the dozens a second it accepts.
   */
  private static final int PAGES = 6;

  private static final long PAGE_INTERVAL_MICROS = 10_000_000;
  private static final int MAX_PAGE_BYTES = 15 * 1024;

  /** The bytes of a stored page beside its text. */
  private static final int PAGE_HEAD_BYTES = 64;

  /** How long an estimate is reused: each scheduling round asks for each job that waits. */
  private static final long ESTIMATE_LIFE_MICROS = 2_000_000;

  /** The share of runs that an estimate's interval is to contain. */
  private static final double SHARE = 0.8;

  /** The most classes of jobs in the metrics. */
  private static final int MAX_CLASSES = 50;

  private final LeaderTerm term;
  private final Estimator estimator = new Estimator(MAX_KINDS, MAX_JOBS);
  private final EstimatePages pages;
  private int nextPage;

  LearnedRunTimes(LeaderTerm term) {
    this.term = term;
    int textBytes =
        Math.min(MAX_PAGE_BYTES, term.deployment.state().valueBytes()) - PAGE_HEAD_BYTES;
    pages = new EstimatePages(estimator, PAGES, textBytes);
  }

  /**
   * Takes over what earlier leaders have learned. A page that cannot be read is left out: learning
   * it anew costs precision for a while, while a failed failover would stop everything.
   *
   * @param items the stored pages, in any order
   */
  public void load(List<KeyValue> items) {
    for (KeyValue item : items) {
      try {
        pages.read(item.value().text("d"));
      } catch (MalformedMessageException | MalformedPageException e) {
        LOG.info("page {} of run times is unreadable and left out: {}", item.key(), e.getMessage());
      }
    }
    LOG.info("loaded run times of {} kinds of tasks", estimator.size());
  }

  /** Starts to store, at intervals until the term ends, the pages that have changed. */
  public void startPersisting() {
    term.every(PAGE_INTERVAL_MICROS, this::saveNextChangedPage);
  }

  private void saveNextChangedPage() {
    int page = pages.nextChanged(nextPage);
    if (page >= 0) {
      nextPage = (page + 1) % PAGES;
      term.commits.add(new PageChange(page), Urgency.LATER);
    }
  }

  @Override
  public void observe(TaskRun run) {
    if (estimator.observe(run)) {
      pages.changed(run.profile());
    }
  }

  private Estimate estimateOf(Job job) {
    long nowMicros = term.scheduler.nowMicros();
    if (job.expected == null || nowMicros - job.expected.askedMicros() >= ESTIMATE_LIFE_MICROS) {
      EstimateQuery query = new EstimateQuery(job.profile, job.spec.estimateMicros(), "", 0, SHARE);
      Estimate estimate = estimator.estimate(query);
      if (job.expected == null && LOG.isDebugEnabled()) {
        logFirstEstimate(job, query, estimate);
      }
      job.expected = new Expected(estimate, nowMicros);
    }
    return job.expected.estimate();
  }

  private void logFirstEstimate(Job job, EstimateQuery query, Estimate estimate) {
    LOG.debug(
        "{} of {} is expected to take {} ms ({} to {}): {}",
        job.spec.id(),
        job.spec.jobClass(),
        estimate.medianMicros() / 1000,
        estimate.lowMicros() / 1000,
        estimate.highMicros() / 1000,
        estimator.explain(query));
  }

  @Override
  public long expectedMicros(Job job) {
    return estimateOf(job).medianMicros();
  }

  @Override
  public long upperBoundMicros(Job job) {
    return estimateOf(job).highMicros();
  }

  @Override
  public long remainingMicros(Assignment assignment, long nowMicros) {
    long ranMicros = RunTimes.ranMicros(assignment, nowMicros);
    Job job = assignment.job;
    String machineType = assignment.machine.type.name();
    EstimateQuery query =
        new EstimateQuery(job.profile, job.spec.estimateMicros(), machineType, ranMicros, SHARE);
    long wholeMicros = estimator.estimate(query).medianMicros();
    // Nothing is known of a task that has run for longer than any like it.
    return wholeMicros > ranMicros ? wholeMicros - ranMicros : ranMicros;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    if (assignment.runningMicros < 0 || assignment.job.spec.kind() == JobKind.SERVICE) {
      return false;
    }
    // Only for a task that has not reached its lower bound: one that still runs close to its upper
    // bound mostly outlasts it.
    long ranMicros = RunTimes.ranMicros(assignment, nowMicros);
    Estimate estimate = estimateOf(assignment.job);
    return ranMicros <= estimate.lowMicros() && estimate.highMicros() - ranMicros <= withinMicros;
  }

  /**
   * Writes the metrics of the estimates as the field {@code run_times}: counts, and for each class
   * of jobs how run times relate to their users' estimates.
   */
  public void write(JsonGenerator out) throws IOException {
    out.writeObjectFieldStart("run_times");
    out.writeNumberField("kinds", estimator.size());
    writeCounts(out);
    out.writeObjectFieldStart("ratio_to_guess");
    for (ClassSummary known : estimator.classes(MAX_CLASSES)) {
      out.writeObjectFieldStart(known.jobClass());
      out.writeNumberField("runs", known.runs());
      out.writeNumberField("low", known.low());
      out.writeNumberField("median", known.median());
      out.writeNumberField("high", known.high());
      out.writeNumberField("share", known.coverage());
      out.writeEndObject();
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  private void writeCounts(JsonGenerator out) throws IOException {
    List<IOException> failures = new ArrayList<>();
    estimator
        .counts()
        .each(
            (name, count) -> {
              try {
                out.writeNumberField(name, count);
              } catch (IOException e) {
                failures.add(e);
              }
            });
    if (!failures.isEmpty()) {
      throw failures.get(0);
    }
  }

  /** Writes one page, rendered when its transaction is built, with what is known then. */
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
      LOG.debug("{} written", name());
    }
  }
}
