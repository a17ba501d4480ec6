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
 * Estimates run times from the tasks that have run. What is learned is stored page by page, so that
 * the next leader continues with it. Confined to the event loop thread.
 */
public final class LearnedRunTimes implements RunTimes {
  private static final Logger LOG = LoggerFactory.getLogger(LearnedRunTimes.class);

  /**
   * Limits memory: this many profiles, {@link #MAX_JOBS} jobs and the names of 1,500 machines take
   * about 5 MB of the smallest controller's 64 MB heap.
   */
  private static final int MAX_PROFILES = 500;

  private static final int MAX_JOBS = 500;

  /**
   * One page is written per {@link #PAGE_INTERVAL_MICROS}, so all pages are written within a minute
   * and a new leader lacks at most the last minute of observations. The store receives one write in
   * 10 seconds, of the dozens per second that it accepts.
   */
  private static final int PAGE_COUNT = 6;

  private static final long PAGE_INTERVAL_MICROS = 10_000_000;
  private static final int MAX_PAGE_BYTES = 15 * 1024;

  /** The bytes of a stored page in addition to its text. */
  private static final int PAGE_OVERHEAD_BYTES = 64;

  /**
   * Estimates are cached for this long, because every scheduling round needs one for each waiting
   * job.
   */
  private static final long ESTIMATE_CACHE_MICROS = 2_000_000;

  /** The share of runs that the prediction interval of an estimate has to contain. */
  private static final double INTERVAL_COVERAGE = 0.8;

  /** The maximum number of job classes in the metrics. */
  private static final int MAX_CLASSES_IN_METRICS = 50;

  private final LeaderTerm term;
  private final Estimator estimator = new Estimator(MAX_PROFILES, MAX_JOBS);
  private final EstimatePages pages;
  private int nextPage;

  LearnedRunTimes(LeaderTerm term) {
    this.term = term;
    int maxTextBytes =
        Math.min(MAX_PAGE_BYTES, term.deployment.state().valueBytes()) - PAGE_OVERHEAD_BYTES;
    pages = new EstimatePages(estimator, PAGE_COUNT, maxTextBytes);
  }

  /**
   * Loads the run times that earlier leaders learned. An unreadable page is logged and skipped:
   * learning its contents again costs precision for a while, but failing here would prevent the
   * failover and so stop all scheduling.
   *
   * @param storedPages the stored pages, in any order
   */
  public void load(List<KeyValue> storedPages) {
    for (KeyValue item : storedPages) {
      try {
        pages.restorePage(item.value().text("d"));
      } catch (MalformedMessageException | MalformedPageException e) {
        LOG.info("skipped unreadable page {} of learned run times: {}", item.key(), e.getMessage());
      }
    }
    LOG.info("loaded learned run times of {} task profiles", estimator.profileCount());
  }

  /** Starts to store the changed pages, one per interval, until the term ends. */
  public void startPersisting() {
    term.runEvery(PAGE_INTERVAL_MICROS, this::queueNextChangedPage);
  }

  private void queueNextChangedPage() {
    int page = pages.nextChangedPage(nextPage);
    if (page >= 0) {
      nextPage = (page + 1) % PAGE_COUNT;
      term.commitQueue.add(new PageChange(page), Urgency.DEFERRED);
    }
  }

  @Override
  public void observe(TaskRun run) {
    if (estimator.observe(run)) {
      pages.markChanged(run.profile());
    }
  }

  private Estimate cachedEstimate(Job job) {
    long nowMicros = term.scheduler.nowMicros();
    if (job.lastEstimate == null
        || nowMicros - job.lastEstimate.estimatedAtMicros() >= ESTIMATE_CACHE_MICROS) {
      EstimateQuery query =
          new EstimateQuery(job.profile, job.spec.estimateMicros(), "", 0, INTERVAL_COVERAGE);
      Estimate estimate = estimator.estimate(query);
      if (job.lastEstimate == null && LOG.isDebugEnabled()) {
        logFirstEstimate(job, query, estimate);
      }
      job.lastEstimate = new Expected(estimate, nowMicros);
    }
    return job.lastEstimate.estimate();
  }

  private void logFirstEstimate(Job job, EstimateQuery query, Estimate estimate) {
    LOG.debug(
        "job {} of class {} has an expected run time of {} ms ({} to {}): {}",
        job.spec.id(),
        job.spec.jobClass(),
        estimate.medianMicros() / 1000,
        estimate.lowMicros() / 1000,
        estimate.highMicros() / 1000,
        estimator.explain(query));
  }

  @Override
  public long expectedMicros(Job job) {
    return cachedEstimate(job).medianMicros();
  }

  @Override
  public long upperBoundMicros(Job job) {
    return cachedEstimate(job).highMicros();
  }

  @Override
  public long remainingMicros(Assignment assignment, long nowMicros) {
    long ranMicros = RunTimes.ranMicros(assignment, nowMicros);
    Job job = assignment.job;
    String machineType = assignment.machine.type.name();
    EstimateQuery query =
        new EstimateQuery(
            job.profile, job.spec.estimateMicros(), machineType, ranMicros, INTERVAL_COVERAGE);
    long totalMicros = estimator.estimate(query).medianMicros();
    // No data shows how long a task keeps running that has outlasted every similar one. It is
    // expected to run as long again.
    return totalMicros > ranMicros ? totalMicros - ranMicros : ranMicros;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    if (assignment.runningMicros < 0 || assignment.job.spec.kind() == JobKind.SERVICE) {
      return false;
    }
    // Only tasks that have not run past the lower bound qualify: most tasks that still run shortly
    // before the upper bound run past it.
    long ranMicros = RunTimes.ranMicros(assignment, nowMicros);
    Estimate estimate = cachedEstimate(assignment.job);
    return ranMicros <= estimate.lowMicros() && estimate.highMicros() - ranMicros <= withinMicros;
  }

  /**
   * Writes the metrics of the estimates as the field {@code run_times}: counters, and for each job
   * class the distribution of the ratio of run time to the user's estimate.
   */
  public void writeMetrics(JsonGenerator out) throws IOException {
    out.writeObjectFieldStart("run_times");
    out.writeNumberField("kinds", estimator.profileCount());
    writeCounts(out);
    out.writeObjectFieldStart("ratio_to_guess");
    for (ClassSummary summary : estimator.summarizeClasses(MAX_CLASSES_IN_METRICS)) {
      out.writeObjectFieldStart(summary.jobClass());
      out.writeNumberField("runs", summary.runs());
      out.writeNumberField("low", summary.lowRatio());
      out.writeNumberField("median", summary.medianRatio());
      out.writeNumberField("high", summary.highRatio());
      out.writeNumberField("share", summary.coverage());
      out.writeEndObject();
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  private void writeCounts(JsonGenerator out) throws IOException {
    List<IOException> failures = new ArrayList<>();
    estimator
        .counts()
        .forEach(
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

  /**
   * Writes one page. The page is rendered when its transaction is built, so it contains all
   * observations up to then.
   */
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
      String text = pages.encodePage(page);
      return List.of(Write.put(name(), Json.object(out -> out.writeStringField("d", text))));
    }

    @Override
    public void committed() {
      LOG.debug("wrote page {} of learned run times", name());
    }
  }
}
