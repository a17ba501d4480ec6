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
 * Decides which commands a worker is sent: a pure function of the heartbeat and the cluster state,
 * which changes neither. The caller notes what it has sent ({@link SentCommands}).
 *
 * <p>A task is started only if its record is durable; a task is stopped if no record names it or
 * its record is to go; a worker forgets an exit ("reap" on the wire) once the record of it is gone.
 */
final class CommandPlanner {
  /** A stop that was sent directly and shows no effect is repeated after this time. */
  private static final long STOP_REPEAT_MICROS = 1_000_000;

  /**
   * A command takes about 110 bytes, and a worker accepts 64 KiB at most in one response line or
   * request.
   */
  private static final int MAX_COMMANDS = 400;

  private final TaskFactsBuilder facts;
  private final long gangPeerMicros;

  /**
   * @param facts derives what is known of a task
   * @param gangPeerMicros how long the tasks of a gang may take to notice that one of them stops
   */
  CommandPlanner(TaskFactsBuilder facts, long gangPeerMicros) {
    this.facts = facts;
    this.gangPeerMicros = gangPeerMicros;
  }

  /**
   * The commands that answer a heartbeat.
   *
   * @param machine the machine that sent it, with the heartbeat already taken in
   * @param heartbeat what the worker reported
   * @param holdsLease whether the leader's lease lasts, without which nothing is started
   */
  CommandPlan planAnswer(Machine machine, Heartbeat heartbeat, boolean holdsLease) {
    boolean newest = machine.epoch == heartbeat.epoch() && machine.sequence == heartbeat.sequence();
    if (!newest) {
      return planStops(machine, heartbeat);
    }
    List<WorkerCommand> commands = new ArrayList<>();
    List<Assignment> starts = new ArrayList<>();
    List<Assignment> stops = new ArrayList<>();
    boolean settleDirectStarts = false;
    for (TaskStatus task : heartbeat.tasks()) {
      Assignment assignment = machine.assignments.get(attemptOf(task));
      if (assignment == null) {
        settleDirectStarts |= addUnrecorded(task, commands);
      } else if (facts.decide(assignment).verdict() == Verdict.STOP) {
        commands.add(stop(assignment));
        stops.add(assignment);
      }
    }
    for (Assignment assignment : machine.assignments.values()) {
      TaskDecision decision = facts.decide(assignment);
      settleDirectStarts |=
          decision.verdict() == Verdict.AWAIT && assignment.directToken >= machine.seenToken;
      if (commands.size() < MAX_COMMANDS && startable(assignment, decision, holdsLease)) {
        commands.add(WorkerCommand.start(assignment.task, assignment.attempt));
        starts.add(assignment);
      }
    }
    // A late copy of a direct start could start again what its worker has been told to forget, so
    // that copy must carry too low a token by then. Whatever waits for a direct start of unknown
    // fate is settled in the same way.
    boolean raiseToken = settleDirectStarts && machine.directToken >= machine.issuedToken;
    return new CommandPlan(commands, starts, stops, raiseToken);
  }

  /**
   * The answer to a heartbeat that is not the newest: stops of all it shows that must not run.
   * Stops name attempts, and are right however old the heartbeat is. No answer that renews a lease
   * goes out without them.
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
        commands.add(stop(assignment));
        stops.add(assignment);
      }
    }
    return new CommandPlan(commands, List.of(), stops, false);
  }

  /**
   * The commands that do not wait for the machine's next heartbeat: starts that were never sent,
   * and stops of evicted tasks, repeated until they show.
   *
   * @param nowMicros the time on the scheduler's steady clock
   * @param holdsLease whether the leader's lease lasts, without which nothing is started
   */
  CommandPlan planDirect(Machine machine, long nowMicros, boolean holdsLease) {
    List<WorkerCommand> commands = new ArrayList<>(2);
    List<Assignment> starts = new ArrayList<>(2);
    List<Assignment> stops = new ArrayList<>(2);
    for (Assignment assignment : machine.assignments.values()) {
      if (commands.size() >= MAX_COMMANDS) {
        break;
      }
      if (startsDirectly(assignment, holdsLease)) {
        commands.add(WorkerCommand.start(assignment.task, assignment.attempt));
        starts.add(assignment);
      } else if (stopsDirectly(assignment, nowMicros)) {
        commands.add(stop(assignment));
        stops.add(assignment);
      }
    }
    return new CommandPlan(commands, starts, stops, false);
  }

  /** Adds the command for a task without a record; true if the worker is told to forget it. */
  private static boolean addUnrecorded(TaskStatus task, List<WorkerCommand> commands) {
    Verdict verdict = TaskFactsBuilder.decideUnrecorded(task).verdict();
    if (verdict == Verdict.FORGET) {
      commands.add(WorkerCommand.reap(task.task(), task.attempt()));
    } else if (verdict == Verdict.STOP) {
      commands.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
    }
    return verdict == Verdict.FORGET;
  }

  private boolean startsDirectly(Assignment assignment, boolean holdsLease) {
    Machine machine = assignment.machine;
    return !assignment.startSent
        && assignment.reportedSequence != machine.sequence
        && FencingToken.canRise(machine.issuedToken)
        && startable(assignment, facts.decide(assignment), holdsLease);
  }

  private static boolean stopsDirectly(Assignment assignment, long nowMicros) {
    return assignment.evicting
        && assignment.reportedByWorker()
        && !assignment.completed
        && assignment.phase != Phase.EXITED
        && (assignment.stopSentMicros < 0
            || nowMicros - assignment.stopSentMicros > STOP_REPEAT_MICROS);
  }

  private static boolean startable(
      Assignment assignment, TaskDecision decision, boolean holdsLease) {
    return decision.verdict() == Verdict.START && !assignment.machine.retiring && holdsLease;
  }

  /** A stop, with time to write a checkpoint if the job goes on and writes any. */
  private WorkerCommand stop(Assignment assignment) {
    Job job = assignment.job;
    boolean checkpoints = job != null && !job.ended && job.spec.checkpointIntervalMicros() > 0;
    long graceMicros = checkpoints ? job.spec.checkpointSaveMicros() + gangPeerMicros : 0;
    return WorkerCommand.stop(assignment.task, assignment.attempt, graceMicros);
  }

  private static TaskAttempt attemptOf(TaskStatus task) {
    return new TaskAttempt(task.task(), task.attempt());
  }
}
