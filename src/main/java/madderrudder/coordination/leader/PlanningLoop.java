package madderrudder.coordination.leader;

import java.util.Set;
import java.util.function.BooleanSupplier;
import madderrudder.coordination.heartbeat.HeartbeatHandler;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.scheduling.Placement;
import madderrudder.coordination.scheduling.PlacementPlan;
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
 * Plans the cluster in rounds: compares the demand of the jobs with the current state of the
 * cluster and places tasks, preempts and evicts tasks, and scales out. Confined to the event loop
 * thread.
 */
final class PlanningLoop {
  private static final Logger LOG = LoggerFactory.getLogger(PlanningLoop.class);

  /** Minimum delay of a requested round, so that events within this time share one round. */
  private static final long COALESCING_DELAY_MICROS = 5_000;

  /**
   * Minimum delay of a requested round, as a multiple of the duration of the last round. It bounds
   * the share of processor time that planning takes, however large the cluster is.
   */
  private static final int PAUSE_TO_ROUND_RATIO = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final ScaleOutController scaleOut;
  private final HeartbeatHandler heartbeats;
  private final CoverageTracker coverage;
  private final BooleanSupplier ready;
  private boolean roundScheduled;
  private long lastRoundMicros;
  private long jobsHeldBack;

  /**
   * Creates the planning loop of one term.
   *
   * @param ready returns whether the stored state has been loaded; nothing is planned before that
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

  /** Schedules a planning round after a short delay, unless one is already scheduled. */
  void planSoon() {
    if (roundScheduled) {
      return;
    }
    roundScheduled = true;
    term.runAfter(
        Math.max(COALESCING_DELAY_MICROS, PAUSE_TO_ROUND_RATIO * lastRoundMicros),
        () -> {
          if (roundScheduled) {
            plan();
          }
        });
  }

  /** Runs a planning round now, if the stored state is loaded and the leader's lease is valid. */
  void plan() {
    roundScheduled = false;
    if (!ready.getAsBoolean() || !term.election.holdsLease()) {
      return;
    }
    long nowMicros = term.scheduler.nowMicros();
    // A gang is evicted as a whole: its other tasks are stopped in the same round, so that they can
    // write their checkpoints together.
    SpotReclaimDrain.plan(term.cluster, nowMicros).forEach(machines::markForEviction);
    evictBrokenGangs();
    coverage.refresh();
    Demand demand = Demand.of(term.cluster, term.scheduler.wallClockMicros(), coverage.coverage());
    jobsHeldBack = countHeldBack(demand, coverage.coverage());
    if (demand.waiting().isEmpty()) {
      term.cluster.gangReservations.recordRound(Set.of(), nowMicros);
    } else {
      placeAndPreempt(demand, nowMicros);
    }
    scaleOut.scaleOut(demand, nowMicros);
    machines.takeMachinesToCommand().forEach(heartbeats::sendDirectCommands);
    lastRoundMicros = term.scheduler.nowMicros() - nowMicros;
    term.metrics.record(Timing.PLANNING, lastRoundMicros);
    LOG.debug(
        "planning round for {} waiting jobs took {} ms",
        demand.waiting().size(),
        lastRoundMicros / 1000);
  }

  /** Returns how many waiting jobs the last round held back until more machines have reported. */
  long jobsHeldBack() {
    return jobsHeldBack;
  }

  /** Evicts all tasks of each gang that has a stopping task, or has lost a task after its start. */
  private void evictBrokenGangs() {
    for (Job job : term.cluster.jobs.values()) {
      if (job.spec.kind() == JobKind.GANG
          && !job.assignments.isEmpty()
          && !job.complete()
          && isBroken(job)) {
        job.assignments.forEach(machines::markForEviction);
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
    PlacementPlan plan = Placer.plan(term.cluster, term.policy, demand, nowMicros);
    plan.placements().forEach(this::place);
    term.cluster.gangReservations.recordRound(plan.neededByGangs(), nowMicros);
    for (Assignment victim : Preemption.plan(term.cluster, term.policy, demand, nowMicros)) {
      LOG.debug("preempting task {} on machine {}", victim.task, victim.machine.id);
      machines.markForEviction(victim);
    }
  }

  private void place(Placement placement) {
    Job job = placement.job();
    machines.assign(placement.machine(), job, placement.task(), nextAttempt(job));
  }

  /**
   * Returns the attempt number for a task of the job. The tasks of a gang share one attempt number
   * for as long as any of them is placed.
   */
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
