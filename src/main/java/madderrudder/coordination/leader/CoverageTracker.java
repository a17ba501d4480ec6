package madderrudder.coordination.leader;

import java.util.Set;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.state.Job;
import madderrudder.protocol.Priority;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks how much of the cluster has reported after a failover, and decides which starts are
 * deferred until more machines have reported. Confined to the event loop thread.
 */
final class CoverageTracker {
  private static final Logger LOG = LoggerFactory.getLogger(CoverageTracker.class);

  private final LeaderTerm term;
  private final long reportTimeoutMicros;
  private final long termStartMicros;

  /** When the stored state was loaded, from which on heartbeats are answered from it. */
  private long stateLoadedMicros;

  private ClusterCoverage coverage = ClusterCoverage.FULL;

  /** The jobs that were within their teams' guaranteed quotas when this leader took over. */
  private Set<Job> guaranteedJobs = Set.of();

  /**
   * Creates the tracker at the start of a term.
   *
   * @param controllerCount the number of controllers, including this one
   */
  CoverageTracker(LeaderTerm term, int controllerCount) {
    this.term = term;
    reportTimeoutMicros =
        ClusterCoverage.reportTimeoutMicros(term.deployment.workers(), controllerCount);
    termStartMicros = term.scheduler.nowMicros();
  }

  /**
   * Starts tracking once the stored state has been loaded. Determines the guaranteed jobs from the
   * stored state alone, and the coverage with the early heartbeats, which arrived while the state
   * was being read. Those have already been answered, but their reports are as valid as those of
   * any delayed heartbeat.
   *
   * @param acceptEarlyHeartbeats applies the early heartbeats to the cluster state
   */
  void begin(Runnable acceptEarlyHeartbeats) {
    stateLoadedMicros = term.scheduler.nowMicros();
    LOG.info(
        "term {}: took over {} jobs and {} machines",
        term.number,
        term.cluster.jobs.size(),
        term.cluster.machines.size());
    coverage = assess();
    guaranteedJobs =
        Demand.of(term.cluster, term.scheduler.wallClockMicros(), coverage).guaranteed();
    acceptEarlyHeartbeats.run();
    coverage = assess();
    LOG.info(
        "term {}: stored state loaded in {} ms, {} of the expected machines have reported{}",
        term.number,
        (stateLoadedMicros - termStartMicros) / 1000,
        percent(coverage.share()),
        coverage.suffices() ? "" : ", scale-out and preemption are deferred");
  }

  /** Returns the coverage as of the last assessment; full before {@link #begin}. */
  ClusterCoverage coverage() {
    return coverage;
  }

  /** Updates the coverage, unless all expected machines have already reported. */
  void refresh() {
    if (coverage.complete()) {
      return;
    }
    boolean wasSufficient = coverage.suffices();
    coverage = assess();
    if (!wasSufficient && coverage.suffices()) {
      LOG.info(
          "term {}: {} of the expected machines have reported after {} ms",
          term.number,
          percent(coverage.share()),
          (term.scheduler.nowMicros() - stateLoadedMicros) / 1000);
    }
  }

  /**
   * Returns whether no task of the job is started until more machines have reported. Tasks of
   * production jobs and of jobs within a guaranteed quota are started at once on the machines where
   * they are recorded; tasks of other jobs could soon be preempted by waiting work.
   */
  boolean defersStart(Job job) {
    return !coverage.complete()
        && !coverage.suffices(job)
        && job.spec.priority() != Priority.PRODUCTION
        && !guaranteedJobs.contains(job);
  }

  private ClusterCoverage assess() {
    return ClusterCoverage.of(
        term.cluster,
        term.scheduler.nowMicros() - stateLoadedMicros,
        reportTimeoutMicros,
        term.scheduler.wallClockMicros());
  }

  private static String percent(double share) {
    return Math.round(100 * share) + "%";
  }
}
