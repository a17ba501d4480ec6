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
 * Records the exit of a task: completes or releases its assignment, records the run time, and
 * attributes a failure to the job or the machine. Confined to the event loop thread.
 */
final class TaskExitHandler {
  private static final Logger LOG = LoggerFactory.getLogger(TaskExitHandler.class);

  /** Failures on a machine that are further apart than this are treated as unrelated. */
  private static final long MACHINE_FAILURE_WINDOW_MICROS = 120_000_000;

  /**
   * Time for which a machine is cordoned after failures of several jobs. It is shorter than 90 s,
   * because no job should wait that long while there is capacity; if the machine is still faulty,
   * the next failure shows it.
   */
  private static final long CORDON_DURATION_MICROS = 60_000_000;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final JobRegistry jobs;

  TaskExitHandler(LeaderTerm term, MachineRegistry machines, JobRegistry jobs) {
    this.term = term;
    this.machines = machines;
    this.jobs = jobs;
  }

  /**
   * Records the exit that a worker reports for a task.
   *
   * @return true if capacity was freed, false if the completion was recorded before
   */
  boolean recordExit(Assignment assignment, TaskStatus task, long nowMicros) {
    if (assignment.completed) {
      return false;
    }
    assignment.phase = Phase.EXITED;
    LOG.debug(
        "task {} attempt {} exited on machine {}: {}",
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
    jobs.recordCompletion(assignment);
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
        case ERROR -> recordFailure(job, assignment, nowMicros);
        case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT, UNKNOWN ->
            job.recordRefusal(task.task().index(), nowMicros);
        default -> {}
      }
    }
  }

  /**
   * Attributes a failure to the job if the job fails on several machines, and to the machine if
   * several jobs fail on it.
   */
  private void recordFailure(Job job, Assignment failed, long nowMicros) {
    boolean wasFailing = job.failing();
    long ranMicros = failed.runningMicros < 0 ? 0 : nowMicros - failed.runningMicros;
    job.recordFailure(failed.task.index(), failed.machine.id, ranMicros, nowMicros);
    if (!job.failing()) {
      failed.machine.recordFailure(
          job.spec.id(), nowMicros, MACHINE_FAILURE_WINDOW_MICROS, CORDON_DURATION_MICROS);
    } else if (!wasFailing) {
      LOG.info(
          "job {} failed on several machines and completed no task, starting one task at a time",
          job.spec.id());
      jobs.queueFailingChange(job);
      clearMachineFailures(job);
    }
  }

  private void clearMachineFailures(Job job) {
    for (String id : job.machinesFailedOn()) {
      Machine machine = term.cluster.machines.get(id);
      if (machine != null) {
        machine.clearFailure(job.spec.id());
      }
    }
  }

  /**
   * Records the run time of a task. Records nothing if the task was never reported as running or
   * was started by an earlier leader, whose start time is not known.
   *
   * @param complete true if the run time is that of a whole run, false if it is a lower bound
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
    term.runHistory.add(term.scheduler.wallClockMicros(), run);
  }
}
