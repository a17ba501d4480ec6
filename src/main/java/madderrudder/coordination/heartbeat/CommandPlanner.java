package madderrudder.coordination.heartbeat;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.reconciliation.TaskDecision;
import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.TaskAttempt;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.Phase;
import madderrudder.protocol.WorkerCommand;

/**
 * Decides which commands to send to a worker. The decision is a pure function of the heartbeat and
 * the cluster state, and modifies neither; the caller records what it sends in {@link
 * SentCommandRecorder}.
 *
 * <p>A task is started only if its record is durable. A task is stopped if it has no record or its
 * record is to be removed. A worker is told to forget an exited task ("reap" on the wire) once the
 * task's record has been removed.
 */
final class CommandPlanner {
  /** Time after which a direct stop without visible effect is sent again. */
  private static final long STOP_RETRY_INTERVAL_MICROS = 1_000_000;

  /**
   * Keeps a message below the 64 KiB that a worker accepts in one response line or request; an
   * encoded command takes about 110 bytes.
   */
  private static final int MAX_COMMANDS_PER_MESSAGE = 400;

  private final TaskFactsBuilder facts;
  private final long gangLossDetectionMicros;

  /**
   * Creates a planner.
   *
   * @param facts derives the reconciler's input and decision for a task
   * @param gangLossDetectionMicros the longest time in which the other tasks of a gang detect that
   *     one of them is stopping
   */
  CommandPlanner(TaskFactsBuilder facts, long gangLossDetectionMicros) {
    this.facts = facts;
    this.gangLossDetectionMicros = gangLossDetectionMicros;
  }

  /**
   * Returns the commands that answer a heartbeat. The answer to a heartbeat that is not the
   * machine's newest contains stops only.
   *
   * <p>A delayed copy of a direct start could start a task again that the worker does not know any
   * more, because it was told to forget it or because its machine restarted. The first answer after
   * a direct start therefore raises the token, which makes the worker reject such copies. It also
   * resolves a direct start with an unknown outcome: the start has no effect once the worker has
   * seen the new token. While a direct request is in flight, which the new token would overtake,
   * the token is raised only if an exit or an unknown outcome requires it.
   *
   * @param machine the machine that sent the heartbeat, after the heartbeat was applied to it
   * @param heartbeat the worker's report
   * @param holdsLease whether the leader's lease is valid; no task is started without it
   */
  CommandPlan planAnswer(Machine machine, Heartbeat heartbeat, boolean holdsLease) {
    boolean isNewest =
        machine.epoch == heartbeat.epoch() && machine.sequence == heartbeat.sequence();
    if (!isNewest) {
      return planStops(machine, heartbeat);
    }
    List<WorkerCommand> commands = new ArrayList<>();
    List<Assignment> starts = new ArrayList<>();
    List<Assignment> stops = new ArrayList<>();
    boolean invalidateDirectStarts = false;
    for (TaskStatus task : heartbeat.tasks()) {
      Assignment assignment = machine.assignments.get(attemptOf(task));
      if (assignment == null) {
        invalidateDirectStarts |= addCommandForUnrecorded(task, commands);
      } else if (task.phase() == Phase.EXITED) {
        invalidateDirectStarts |= !assignment.completed;
      } else if (facts.decide(assignment).verdict() == Verdict.STOP) {
        commands.add(stopCommand(assignment));
        stops.add(assignment);
      }
    }
    for (Assignment assignment : machine.assignments.values()) {
      TaskDecision decision = facts.decide(assignment);
      invalidateDirectStarts |=
          decision.verdict() == Verdict.AWAIT && assignment.directToken >= machine.seenToken;
      if (commands.size() < MAX_COMMANDS_PER_MESSAGE
          && mayStart(assignment, decision, holdsLease)) {
        commands.add(WorkerCommand.start(assignment.task, assignment.attempt));
        starts.add(assignment);
      }
    }
    boolean raiseToken =
        machine.directToken >= machine.issuedToken
            && (invalidateDirectStarts || !machine.directInFlight);
    return new CommandPlan(commands, starts, stops, raiseToken);
  }

  /**
   * Returns the answer to a heartbeat that is not the machine's newest: a stop for each reported
   * attempt that must not run. A stop names one attempt, so it is correct however old the heartbeat
   * is. Every answer that renews a worker's lease must include these stops.
   */
  CommandPlan planStops(Machine machine, Heartbeat heartbeat) {
    List<WorkerCommand> commands = new ArrayList<>();
    List<Assignment> stops = new ArrayList<>();
    for (TaskStatus task : heartbeat.tasks()) {
      if (task.phase() == Phase.EXITED) {
        continue;
      }
      Assignment assignment = machine.assignments.get(attemptOf(task));
      if (assignment == null) {
        commands.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
      } else if (facts.desiredState(assignment) == DesiredState.REMOVE) {
        commands.add(stopCommand(assignment));
        stops.add(assignment);
      }
    }
    return new CommandPlan(commands, List.of(), stops, false);
  }

  /**
   * Returns the commands to send without waiting for the machine's next heartbeat: starts that were
   * never sent, and stops of evicted tasks, which are repeated until the worker reports the exit.
   *
   * @param nowMicros the time on the scheduler's monotonic clock
   * @param holdsLease whether the leader's lease is valid; no task is started without it
   */
  CommandPlan planDirect(Machine machine, long nowMicros, boolean holdsLease) {
    List<WorkerCommand> commands = new ArrayList<>(2);
    List<Assignment> starts = new ArrayList<>(2);
    List<Assignment> stops = new ArrayList<>(2);
    for (Assignment assignment : machine.assignments.values()) {
      if (commands.size() >= MAX_COMMANDS_PER_MESSAGE) {
        break;
      }
      if (needsDirectStart(assignment, holdsLease)) {
        commands.add(WorkerCommand.start(assignment.task, assignment.attempt));
        starts.add(assignment);
      } else if (needsDirectStop(assignment, nowMicros)) {
        commands.add(stopCommand(assignment));
        stops.add(assignment);
      }
    }
    return new CommandPlan(commands, starts, stops, false);
  }

  /**
   * Adds the command for a reported task without a record, if it needs one.
   *
   * @return true if the command tells the worker to forget the task
   */
  private static boolean addCommandForUnrecorded(TaskStatus task, List<WorkerCommand> commands) {
    Verdict verdict = TaskFactsBuilder.decideUnrecorded(task).verdict();
    if (verdict == Verdict.FORGET) {
      commands.add(WorkerCommand.reap(task.task(), task.attempt()));
    } else if (verdict == Verdict.STOP) {
      commands.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
    }
    return verdict == Verdict.FORGET;
  }

  private boolean needsDirectStart(Assignment assignment, boolean holdsLease) {
    Machine machine = assignment.machine;
    return !assignment.startSent
        && assignment.reportedSequence != machine.sequence
        && FencingToken.canRise(machine.issuedToken)
        && mayStart(assignment, facts.decide(assignment), holdsLease);
  }

  private static boolean needsDirectStop(Assignment assignment, long nowMicros) {
    return assignment.evicting
        && assignment.reportedByWorker()
        && !assignment.completed
        && assignment.phase != Phase.EXITED
        && (assignment.stopSentMicros < 0
            || nowMicros - assignment.stopSentMicros > STOP_RETRY_INTERVAL_MICROS);
  }

  private static boolean mayStart(
      Assignment assignment, TaskDecision decision, boolean holdsLease) {
    return decision.verdict() == Verdict.START && !assignment.machine.retiring && holdsLease;
  }

  /**
   * Returns a stop command. Its grace period leaves time for a checkpoint if the job continues and
   * writes checkpoints, and is 0 otherwise.
   */
  private WorkerCommand stopCommand(Assignment assignment) {
    Job job = assignment.job;
    boolean writesCheckpoint = job != null && !job.ended && job.spec.checkpointIntervalMicros() > 0;
    long graceMicros =
        writesCheckpoint ? job.spec.checkpointSaveMicros() + gangLossDetectionMicros : 0;
    return WorkerCommand.stop(assignment.task, assignment.attempt, graceMicros);
  }

  private static TaskAttempt attemptOf(TaskStatus task) {
    return new TaskAttempt(task.task(), task.attempt());
  }
}
