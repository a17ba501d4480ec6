package madderrudder.coordination.heartbeat;

import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.estimates.TaskRun;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records the exit of a task: its completion or release, how long it ran, and whether the job or
 * the machine is at fault. Confined to the event loop thread.
 */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskExitHandler.class);

  /** Errors on a machine that lie further apart than this are taken for unrelated. */
  private static final long FAILURE_WINDOW_MICROS = 120_000_000;

  /**
   * How long a machine with failures of several jobs is cordoned. No job should wait for 90 s while
   * there is capacity, and one more error shows soon enough that the machine is still at fault.
   */
  private static final long CORDON_MICROS = 60_000_000;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final JobRegistry jobs;

  TaskExitHandler(LeaderTerm term, MachineRegistry machines, JobRegistry jobs) {
    this.term = term;
    this.machines = machines;
    this.jobs = jobs;
  }

  /** Records the exit; true if that freed capacity, false if it was recorded before. */
  boolean recordExit(Assignment assignment, TaskStatus task, long nowMicros) {
    if (assignment.completed) {
      return false;
    }
    assignment.phase = Phase.EXITED;
    LOG.debug(
        "{} attempt {} exited on {}: {}",
        task.task(),
        task.attempt(),
        assignment.machine.id,
        task.exitReason());
    if (task.exitReason() == ExitReason.DONE) {
      recordCompletion(assignment, nowMicros);
    } else {
      recordIncomplete(assignment, task, nowMicros);
    }
    return true;
  }

  private void recordCompletion(Assignment assignment, long nowMicros) {
    Job job = assignment.job;
    if (job != null) {
      machines.recordImageUse(assignment.machine, job.spec);
      recordRun(assignment, nowMicros, !job.mayHaveResumed(assignment.task.index()));
    }
    jobs.completed(assignment);
  }

  private void recordIncomplete(Assignment assignment, TaskStatus task, long nowMicros) {
    Job job = assignment.job;
    if (job != null
        && (task.exitReason() == ExitReason.STOPPED
            || task.exitReason() == ExitReason.PEERS_GONE)) {
      recordRun(assignment, nowMicros, false);
      job.gangStarted |= task.exitReason() == ExitReason.PEERS_GONE;
    }
    machines.release(assignment);
    if (job != null && !job.ended) {
      switch (task.exitReason()) {
        case ERROR -> recordFailure(job, task, assignment.machine, nowMicros);
        case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT, UNKNOWN ->
            job.refused(task.task().index(), nowMicros);
        default -> {}
      }
    }
  }

  /**
   * A fault of the job and a fault of the machine are told apart by what else fails: the job on
   * several machines, or several jobs on the machine.
   */
  private void recordFailure(Job job, TaskStatus task, Machine machine, long nowMicros) {
    boolean failingBefore = job.failing();
    job.failed(task.task().index(), machine.id, nowMicros);
    if (!job.failing()) {
      machine.recordFailure(job.spec.id(), nowMicros, FAILURE_WINDOW_MICROS, CORDON_MICROS);
    } else if (!failingBefore) {
      LOG.info(
          "{} fails on every machine it is tried on: from now on one task at a time is tried",
          job.spec.id());
      jobs.markFailing(job);
      clearMachineFailures(job);
    }
  }

  private void clearMachineFailures(Job job) {
    for (String id : job.failedOn()) {
      Machine machine = term.cluster.machines.get(id);
      if (machine != null) {
        machine.clearFailure(job.spec.id());
      }
    }
  }

  /**
   * Records how long a task has run: its whole run time if {@code complete}, else a lower bound.
   * The starting time of a task that an earlier leader started is not known here.
   */
  private void recordRun(Assignment assignment, long nowMicros, boolean complete) {
    if (assignment.runningMicros < 0 || assignment.inherited) {
      return;
    }
    TaskRun run =
        new TaskRun(
            assignment.job.profile,
            assignment.task.index(),
            assignment.attempt,
            assignment.machine.type.name(),
            assignment.machine.id,
            assignment.job.spec.estimateMicros(),
            nowMicros - assignment.runningMicros,
            complete);
    term.cluster.runTimes.observe(run);
    term.history.add(term.scheduler.wallMicros(), run);
  }
}
