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
 * Builds the input of {@link TaskReconciler} from the cluster state and a task's reported status,
 * and returns the reconciler's decision. Does not modify the cluster state.
 */
final class TaskFactsBuilder {
  private final long term;
  private final Predicate<Job> startDeferred;

  /**
   * Creates a builder for one term.
   *
   * @param term the leader's term
   * @param startDeferred tests whether no task of a job may be started yet, because the leader
   *     cannot yet determine how much capacity work that ranks before the job needs
   */
  TaskFactsBuilder(long term, Predicate<Job> startDeferred) {
    this.term = term;
    this.startDeferred = startDeferred;
  }

  /** Returns the decision on a recorded attempt, based on the newest report of its machine. */
  TaskDecision decide(Assignment assignment) {
    return TaskReconciler.decide(
        facts(
            assignment,
            reportedState(assignment),
            startMayArrive(assignment),
            assignment.reportedByWorker()));
  }

  /**
   * Returns the decision on a recorded attempt that the worker reports as exited. If the report
   * carries a token of an earlier term, a start that an earlier leader sent for the same attempt
   * may have reached the worker after the exit. If it carries no higher token than a direct start
   * of this leader, a copy of that start takes effect once the worker does not know the exit any
   * more.
   *
   * @param token the fencing token in the report
   */
  TaskDecision decideExit(Assignment assignment, TaskStatus task, long token) {
    boolean startMayArrive =
        assignment.directToken >= token
            || (assignment.inherited && FencingToken.term(token) < term);
    return TaskReconciler.decide(facts(assignment, exitState(task), startMayArrive, true));
  }

  /** Returns the decision on a reported task that has no record on the machine. */
  static TaskDecision decideUnrecorded(TaskStatus task) {
    ReportedState reported = task.phase() == Phase.EXITED ? exitState(task) : ReportedState.PRESENT;
    return TaskReconciler.decide(
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
   * Returns the desired state of a recorded attempt. An inherited attempt of a deferred job that
   * its worker has not reported may run but is not started: if it stopped because the worker's
   * lease expired, it needs no command to stay stopped.
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
      Assignment assignment,
      ReportedState reported,
      boolean startMayArrive,
      boolean reportedByWorker) {
    return new TaskFacts(
        assignment.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
        desiredState(assignment),
        reported,
        startMayArrive,
        reportedByWorker,
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
   * Returns whether a start of the attempt may still take effect on the worker. A worker that has
   * seen this term's token rejects commands of earlier leaders. A worker also discards the answer
   * to a heartbeat once it has sent the next one, so a start that an answer carried is lost if a
   * newer report does not include the task.
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
    return job.gangMachinesReported() ? GangState.GATHERING : GangState.UNKNOWN;
  }
}
