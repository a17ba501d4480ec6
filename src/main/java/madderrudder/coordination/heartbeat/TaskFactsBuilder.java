package madderrudder.coordination.heartbeat;

import java.util.function.Predicate;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.reconciliation.TaskDecision;
import madderrudder.coordination.reconciliation.TaskFacts;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;
import madderrudder.coordination.reconciliation.TaskFacts.ReportedState;
import madderrudder.coordination.reconciliation.TaskReconciler;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;

/**
 * Derives the facts that {@link TaskReconciler} decides on from the cluster state and a task's
 * reported status. Reads the state and changes nothing.
 */
final class TaskFactsBuilder {
  private final long term;
  private final Predicate<Job> startDeferred;

  /**
   * @param term the leader's term
   * @param startDeferred whether no task of the job may be started anew yet, because it is not
   *     known how much of the capacity is needed for work that comes before it
   */
  TaskFactsBuilder(long term, Predicate<Job> startDeferred) {
    this.term = term;
    this.startDeferred = startDeferred;
  }

  /** The decision on a recorded attempt, by the newest report of its machine. */
  TaskDecision decide(Assignment assignment) {
    return TaskReconciler.of(
        facts(
            assignment,
            reportedState(assignment),
            startMayArrive(assignment),
            assignment.reportedByWorker()));
  }

  /**
   * The decision on a recorded attempt that a report carrying the token says has exited. A start
   * sent by an earlier leader for the same attempt may have arrived after that exit.
   */
  TaskDecision decideExit(Assignment assignment, TaskStatus task, long token) {
    boolean startMayArrive = assignment.inherited && FencingToken.term(token) < term;
    return TaskReconciler.of(facts(assignment, exitState(task), startMayArrive, true));
  }

  /** The decision on a reported task that no record names on the machine. */
  static TaskDecision decideUnrecorded(TaskStatus task) {
    ReportedState reported = task.phase() == Phase.EXITED ? exitState(task) : ReportedState.PRESENT;
    return TaskReconciler.of(
        new TaskFacts(
            RecordOwner.NONE,
            DesiredState.REMOVE,
            reported,
            false,
            true,
            true,
            GangState.GATHERING));
  }

  /**
   * What is wanted of a recorded attempt. A task of a deferred job that was stopped by the end of a
   * lease needs no command to stay stopped.
   */
  DesiredState desiredState(Assignment assignment) {
    if (assignment.completed) {
      return DesiredState.KEEP_COMPLETED;
    }
    if (assignment.evicting || assignment.job == null || assignment.job.ended) {
      return DesiredState.REMOVE;
    }
    if (assignment.inherited
        && !assignment.reportedByWorker()
        && startDeferred.test(assignment.job)) {
      return DesiredState.MAY_RUN;
    }
    return DesiredState.RUN;
  }

  private TaskFacts facts(
      Assignment assignment, ReportedState reported, boolean startMayArrive, boolean seen) {
    return new TaskFacts(
        assignment.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
        desiredState(assignment),
        reported,
        startMayArrive,
        seen,
        assignment.durable,
        gangState(assignment.job));
  }

  private static ReportedState reportedState(Assignment assignment) {
    Machine machine = assignment.machine;
    if (!machine.reported) {
      return ReportedState.UNREPORTED;
    }
    return assignment.reportedSequence == machine.sequence
        ? ReportedState.PRESENT
        : ReportedState.ABSENT;
  }

  /**
   * Whether a start of the attempt may still reach the worker. A worker that has seen this term's
   * token takes no command of an earlier leader any more. It drops the answer to a heartbeat once
   * the next one is under way, so that a newer report settles a start that does not show in it.
   */
  private boolean startMayArrive(Assignment assignment) {
    Machine machine = assignment.machine;
    return assignment.directToken >= machine.seenToken
        || assignment.startSequence >= machine.sequence
        || (assignment.inherited && FencingToken.term(machine.seenToken) < term);
  }

  private static ReportedState exitState(TaskStatus task) {
    return task.exitReason() == ExitReason.DONE ? ReportedState.COMPLETED : ReportedState.EXITED;
  }

  private static GangState gangState(Job job) {
    if (job == null || job.spec.kind() != JobKind.GANG) {
      return GangState.GATHERING;
    }
    if (job.gangStarted) {
      return GangState.STARTED;
    }
    return job.gangMachinesHeard() ? GangState.GATHERING : GangState.UNKNOWN;
  }
}
