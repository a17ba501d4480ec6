package madderrudder.coordination.heartbeat;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.OrphanTask;
import madderrudder.coordination.state.TaskAttempt;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.Phase;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the task statuses that a machine reports to the cluster state. Confined to the event loop
 * thread.
 */
final class TaskStatusIngest {
  private static final Logger LOG = LoggerFactory.getLogger(TaskStatusIngest.class);

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final TaskFactsBuilder facts;
  private final TaskExitHandler exits;

  TaskStatusIngest(
      LeaderTerm term, MachineRegistry machines, TaskFactsBuilder facts, TaskExitHandler exits) {
    this.term = term;
    this.machines = machines;
    this.facts = facts;
    this.exits = exits;
  }

  /**
   * Applies the status of each task in a report.
   *
   * @return true if capacity may have become free
   */
  boolean applyStatuses(Machine machine, Heartbeat report, long nowMicros) {
    boolean capacityFreed = !machine.orphanTasks.isEmpty();
    List<OrphanTask> orphanTasks = new ArrayList<>();
    for (TaskStatus task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      Assignment assignment = machine.assignments.get(attempt);
      if (assignment != null) {
        assignment.reportedSequence = report.sequence();
        capacityFreed |= applyStatus(assignment, task, report.token(), nowMicros);
      } else if (task.phase() != Phase.EXITED) {
        orphanTasks.add(toOrphanTask(attempt));
      }
    }
    if (capacityFreed || !orphanTasks.isEmpty()) {
      term.cluster.replaceOrphanTasks(machine, orphanTasks);
    }
    return capacityFreed;
  }

  /**
   * Releases the assignments of tasks that the worker does not have and that no command in flight
   * can still start. A start that was sent with the answer to an earlier heartbeat and is missing
   * from the newest one did not reach the worker, so an acknowledgement is requested.
   *
   * @return true if any assignment was released
   */
  boolean releaseAbsentAssignments(Machine machine) {
    List<Assignment> releasableAssignments = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.reportedByWorker()
          && assignment.startSequence >= 0
          && assignment.startSequence < machine.sequence) {
        machine.expectAcknowledgement(term.scheduler.nowMicros());
      }
      if (facts.decide(assignment).verdict() == Verdict.RELEASE) {
        releasableAssignments.add(assignment);
      }
    }
    releasableAssignments.forEach(machines::release);
    return !releasableAssignments.isEmpty();
  }

  private boolean applyStatus(Assignment assignment, TaskStatus task, long token, long nowMicros) {
    if (task.phase() == Phase.EXITED) {
      Verdict verdict = facts.decideExit(assignment, task, token).verdict();
      boolean recordsExit = verdict == Verdict.RECORD_DONE || verdict == Verdict.RECORD_EXIT;
      return recordsExit && exits.recordExit(assignment, task, nowMicros);
    }
    applyProgress(assignment, task.phase(), nowMicros);
    return false;
  }

  private void applyProgress(Assignment assignment, Phase phase, long nowMicros) {
    if (phase != Phase.FETCHING && assignment.phase != phase && assignment.job != null) {
      machines.recordImageUse(assignment.machine, assignment.job.spec);
    }
    if (phase == Phase.RUNNING && assignment.runningMicros < 0) {
      assignment.runningMicros = nowMicros;
      recordStartLatency(assignment, nowMicros);
      if (assignment.job != null) {
        assignment.job.gangStarted = true;
      }
    }
    assignment.phase = phase;
  }

  private void recordStartLatency(Assignment assignment, long nowMicros) {
    if (assignment.inherited) {
      return;
    }
    term.metrics.record(
        Timing.STARTING, assignment.waitedMicros + nowMicros - assignment.placedMicros);
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "task {} of class {} is running on machine {} ({} {}): waited {} ms to be placed,"
              + " recorded in {} ms, start sent after {} ms, running after {} ms{}",
          assignment.task,
          assignment.job == null ? "?" : assignment.job.spec.jobClass(),
          assignment.machine.id,
          assignment.machine.type.name(),
          purchaseKind(assignment.machine),
          assignment.waitedMicros / 1000,
          (assignment.durableMicros - assignment.placedMicros) / 1000,
          (assignment.startSentMicros - assignment.durableMicros) / 1000,
          (nowMicros - assignment.startSentMicros) / 1000,
          assignment.hadImage ? "" : ", image was not cached");
    }
  }

  private static String purchaseKind(Machine machine) {
    if (machine.spot) {
      return "spot";
    }
    return machine.owned ? "owned" : "on-demand";
  }

  private OrphanTask toOrphanTask(TaskAttempt attempt) {
    Job job = term.cluster.jobs.get(attempt.task().job());
    return job == null
        ? new OrphanTask(attempt, "", Resources.NONE)
        : new OrphanTask(attempt, job.spec.team(), job.spec.resourcesPerTask());
  }
}
