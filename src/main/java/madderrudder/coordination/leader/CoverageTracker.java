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
 * Follows after a failover how much of the cluster has been heard from, and which starts wait for
 * more. Confined to the event loop thread.
 */
final class CoverageTracker {
  private static final Logger LOG = LoggerFactory.getLogger(CoverageTracker.class);

  private final LeaderTerm term;
  private final long patienceMicros;
  private final long beginMicros;

  /** Since when workers are answered by what is recorded. */
  private long readyMicros;

  private ClusterCoverage coverage = ClusterCoverage.FULL;

  /** The jobs that were within their teams' guarantees when this leader took over. */
  private Set<Job> guaranteed = Set.of();

  /**
   * Starts with the term.
   *
   * @param members how many controllers there are, this one included
   */
  CoverageTracker(LeaderTerm term, int members) {
    this.term = term;
    patienceMicros = ClusterCoverage.patienceMicros(term.deployment.workers(), members);
    beginMicros = term.scheduler.nowMicros();
  }

  /**
   * The stored state has been read. Assesses the cluster before and after the early heartbeats,
   * those that came meanwhile, are accepted. They have been answered already; what they say is as
   * good as that of any heartbeat that comes late.
   */
  void begin(Runnable acceptEarlyHeartbeats) {
    readyMicros = term.scheduler.nowMicros();
    LOG.info(
        "term {}: took over {} jobs and {} machines",
        term.number,
        term.cluster.jobs.size(),
        term.cluster.machines.size());
    coverage = assess();
    guaranteed = Demand.of(term.cluster, term.scheduler.wallMicros(), coverage).guaranteed();
    acceptEarlyHeartbeats.run();
    coverage = assess();
    LOG.info(
        "term {}: the store was read in {} ms; {} of the machines that were up have reported{}",
        term.number,
        (readyMicros - beginMicros) / 1000,
        percent(coverage.share()),
        coverage.suffices() ? "" : ", scale-out and preemption wait for more");
  }

  /** The coverage as last assessed; full before {@link #begin}. */
  ClusterCoverage coverage() {
    return coverage;
  }

  /** Assesses the cluster anew, until all machines that are expected have reported. */
  void refresh() {
    if (coverage.complete()) {
      return;
    }
    boolean sufficed = coverage.suffices();
    coverage = assess();
    if (!sufficed && coverage.suffices()) {
      LOG.info(
          "term {}: {} of the machines that were up have reported after {} ms",
          term.number,
          percent(coverage.share()),
          (term.scheduler.nowMicros() - readyMicros) / 1000);
    }
  }

  /**
   * Whether tasks of the job are not started before more machines have reported. Jobs of production
   * priority and those within a guarantee are started at once where they are recorded; the rest
   * could be preempted again by work that waits.
   */
  boolean defersStart(Job job) {
    return !coverage.complete()
        && !coverage.suffices(job)
        && job.spec.priority() != Priority.PRODUCTION
        && !guaranteed.contains(job);
  }

  private ClusterCoverage assess() {
    return ClusterCoverage.of(
        term.cluster,
        term.scheduler.nowMicros() - readyMicros,
        patienceMicros,
        term.scheduler.wallMicros());
  }

  private static String percent(double share) {
    return Math.round(100 * share) + "%";
  }
}
