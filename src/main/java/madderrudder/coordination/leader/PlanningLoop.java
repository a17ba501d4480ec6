package madderrudder.coordination.leader;

import java.util.function.BooleanSupplier;
import madderrudder.coordination.heartbeat.HeartbeatHandler;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.scheduling.Placement;
import madderrudder.coordination.scheduling.Placer;
import madderrudder.coordination.scheduling.Preemption;
import madderrudder.coordination.scheduling.SpotReclaimDrain;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.protocol.JobKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Works out the wanted state of the cluster from its present state, again and again, and acts on
 * the difference: placements, preemptions, evictions and scale-out. Confined to the event loop
 * thread.
 */
final class PlanningLoop {
  private static final Logger LOG = LoggerFactory.getLogger(PlanningLoop.class);

  /** Events that come within this time of one another share a round. */
  private static final long COALESCE_MICROS = 5_000;

  /**
   * A round is followed by a pause of this many times what the last one took, so that planning
   * never takes more than its part of the processor, however large the cluster is.
   */
  private static final int PAUSE_PER_ROUND = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final ScaleOutController scaleOut;
  private final HeartbeatHandler heartbeats;
  private final CoverageTracker coverage;
  private final BooleanSupplier ready;
  private boolean scheduled;
  private long lastRoundMicros;
  private long jobsHeldBack;

  /**
   * {@code ready} tells whether the stored state has been read, before which nothing is planned.
   */
  PlanningLoop(
      LeaderTerm term,
      MachineRegistry machines,
      ScaleOutController scaleOut,
      HeartbeatHandler heartbeats,
      CoverageTracker coverage,
      BooleanSupplier ready) {
    this.term = term;
    this.machines = machines;
    this.scaleOut = scaleOut;
    this.heartbeats = heartbeats;
    this.coverage = coverage;
    this.ready = ready;
  }

  /** Plans a little later, together with whatever else happens until then. */
  void planSoon() {
    if (scheduled) {
      return;
    }
    scheduled = true;
    term.after(
        Math.max(COALESCE_MICROS, PAUSE_PER_ROUND * lastRoundMicros),
        () -> {
          if (scheduled) {
            plan();
          }
        });
  }

  /** Plans now, if the leader's lease lasts. */
  void plan() {
    scheduled = false;
    if (!ready.getAsBoolean() || !term.election.holdsLease()) {
      return;
    }
    long nowMicros = term.scheduler.nowMicros();
    // A gang goes as a whole: its other tasks are stopped in the same round, so that they can write
    // their checkpoints together.
    SpotReclaimDrain.plan(term.cluster, nowMicros).forEach(machines::evict);
    evictBrokenGangs();
    coverage.refresh();
    Demand demand = Demand.of(term.cluster, term.scheduler.wallMicros(), coverage.coverage());
    jobsHeldBack = countHeldBack(demand, coverage.coverage());
    if (!demand.waiting().isEmpty()) {
      placeAndPreempt(demand, nowMicros);
    }
    scaleOut.scaleOut(demand, nowMicros);
    machines.takePendingPushes().forEach(heartbeats::sendDirectCommands);
    lastRoundMicros = term.scheduler.nowMicros() - nowMicros;
    term.metrics.record(Timing.PLANNING, lastRoundMicros);
    LOG.debug("planned for {} jobs in {} ms", demand.waiting().size(), lastRoundMicros / 1000);
  }

  /** How many waiting jobs the last round held back until more machines have reported. */
  long jobsHeldBack() {
    return jobsHeldBack;
  }

  /** Gangs that lost a task, or of which a task is being stopped, go as a whole. */
  private void evictBrokenGangs() {
    for (Job job : term.cluster.jobs.values()) {
      if (job.spec.kind() == JobKind.GANG
          && !job.assignments.isEmpty()
          && !job.complete()
          && isBroken(job)) {
        job.assignments.forEach(machines::evict);
      }
    }
  }

  private static boolean isBroken(Job gang) {
    return gang.assignments.stream().anyMatch(assignment -> assignment.evicting)
        || (gang.gangStarted && gang.nextWaiting(0) >= 0);
  }

  private static long countHeldBack(Demand demand, ClusterCoverage coverage) {
    return coverage.complete()
        ? 0
        : demand.waiting().stream().filter(job -> !coverage.suffices(job)).count();
  }

  private void placeAndPreempt(Demand demand, long nowMicros) {
    for (Placement placement : Placer.plan(term.cluster, term.policy, demand, nowMicros)) {
      place(placement);
    }
    for (Assignment victim : Preemption.plan(term.cluster, term.policy, demand, nowMicros)) {
      LOG.debug("preempting {} on {}", victim.task, victim.machine.id);
      machines.evict(victim);
    }
  }

  private void place(Placement placement) {
    Job job = placement.job();
    machines.assign(placement.machine(), job, placement.task(), nextAttempt(job));
  }

  /** The tasks of a gang share one attempt number for as long as any of them is placed. */
  private long nextAttempt(Job job) {
    if (job.spec.kind() != JobKind.GANG) {
      return term.nextAttempt();
    }
    if (job.gangAttempt == 0) {
      job.gangAttempt = term.nextAttempt();
    }
    return job.gangAttempt;
  }
}
