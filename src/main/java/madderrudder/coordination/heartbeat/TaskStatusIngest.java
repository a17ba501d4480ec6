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
 * Takes the reported states of a machine's tasks into the cluster state. Confined to the event loop
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

  /** Applies the status of each task in the report; true if capacity may have become free. */
  boolean applyStatuses(Machine machine, Heartbeat report, long nowMicros) {
    boolean freed = !machine.orphanTasks.isEmpty();
    List<OrphanTask> orphanTasks = new ArrayList<>();
    for (TaskStatus task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      Assignment assignment = machine.assignments.get(attempt);
      if (assignment != null) {
        assignment.reportedSequence = report.sequence();
        freed |= applyStatus(assignment, task, report.token(), nowMicros);
      } else if (task.phase() != Phase.EXITED) {
        orphanTasks.add(orphanTask(attempt));
      }
    }
    if (freed || !orphanTasks.isEmpty()) {
      term.cluster.replaceOrphanTasks(machine, orphanTasks);
    }
    return freed;
  }

  /**
   * Drops the records of tasks that the worker neither has nor can still be made to start; true if
   * there were any. A start that went out with the answer to an earlier heartbeat and does not show
   * in this one has not reached the worker.
   */
  boolean releaseGone(Machine machine) {
    List<Assignment> gone = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.reportedByWorker()
          && assignment.startSequence >= 0
          && assignment.startSequence < machine.sequence) {
        machine.expectAcknowledgement(term.scheduler.nowMicros());
      }
      if (facts.decide(assignment).verdict() == Verdict.GONE) {
        gone.add(assignment);
      }
    }
    gone.forEach(machines::release);
    return !gone.isEmpty();
  }

  private boolean applyStatus(Assignment assignment, TaskStatus task, long token, long nowMicros) {
    if (task.phase() == Phase.EXITED) {
      Verdict verdict = facts.decideExit(assignment, task, token).verdict();
      boolean recorded = verdict == Verdict.RECORD_DONE || verdict == Verdict.RECORD_EXIT;
      return recorded && exits.recordExit(assignment, task, nowMicros);
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
      recordStart(assignment, nowMicros);
      if (assignment.job != null) {
        assignment.job.gangStarted = true;
      }
    }
    assignment.phase = phase;
  }

  private void recordStart(Assignment assignment, long nowMicros) {
    if (assignment.inherited) {
      return;
    }
    term.metrics.record(
        Timing.STARTING, assignment.waitedMicros + nowMicros - assignment.placedMicros);
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} of {} runs on {} ({} {}): waited {} ms, recorded {} ms, sent {} ms, fetched {} ms{}",
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

  private OrphanTask orphanTask(TaskAttempt attempt) {
    Job job = term.cluster.jobs.get(attempt.task().job());
    return job == null
        ? new OrphanTask(attempt, "", Resources.NONE)
        : new OrphanTask(attempt, job.spec.team(), job.spec.perTask());
  }
}
