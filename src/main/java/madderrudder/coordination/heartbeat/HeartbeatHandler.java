package madderrudder.coordination.heartbeat;

import java.util.List;
import java.util.function.Predicate;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.WorkerCommand;

/**
 * Takes heartbeats in and gives the commands and the fencing token that answer them. The steps are
 * separate: {@link #accept} updates the cluster state, {@link #commandsFor} plans the answer and
 * notes it as sent. Confined to the event loop thread.
 */
public final class HeartbeatHandler {
  private final LeaderTerm term;
  private final CommandPlanner planner;
  private final SentCommands sent;
  private final HeartbeatIngest ingest;
  private final DirectCommandSender direct;

  /**
   * Creates the handler of one term.
   *
   * @param onCapacityFreed run when a task may be placed that could not be before
   * @param startDeferred whether no task of the job may be started anew yet, because it is not
   *     known how much of the capacity is needed for work that comes before it
   */
  public HeartbeatHandler(
      LeaderTerm term,
      MachineRegistry machines,
      JobRegistry jobs,
      ScaleOutController scaleOut,
      Runnable onCapacityFreed,
      Predicate<Job> startDeferred) {
    this.term = term;
    TaskFactsBuilder facts = new TaskFactsBuilder(term.number, startDeferred);
    TaskExitHandler exits = new TaskExitHandler(term, machines, jobs);
    TaskStatusIngest tasks = new TaskStatusIngest(term, machines, facts, exits);
    planner = new CommandPlanner(facts, term.deployment.workers().gangPeerMicros());
    sent = new SentCommands(term.number);
    ingest = new HeartbeatIngest(term, machines, scaleOut, tasks, onCapacityFreed);
    direct = new DirectCommandSender(term, planner, sent, tasks, onCapacityFreed);
  }

  /** Takes a heartbeat into the cluster state. */
  public Freshness accept(Heartbeat heartbeat) {
    return ingest.accept(heartbeat);
  }

  /** Takes in a heartbeat that was answered while the stored state was being read. */
  public void acceptAnswered(Heartbeat heartbeat) {
    ingest.accept(heartbeat);
    Machine machine = machineOf(heartbeat);
    if (machine != null) {
      machine.answeredInTerm = true;
    }
  }

  /**
   * Whether the heartbeat must not be answered. A machine that has shown no sign of an answer for a
   * whole lease, though it reports, has dropped its tasks if its heartbeats are fresh; if they are
   * late copies, answers to them reach nobody. Either way nothing is lost by giving none. Once none
   * was given for a lease, what earlier leaders placed there is gone for certain, which its worker
   * cannot show by this term's token.
   */
  public boolean withholdsAnswer(Heartbeat heartbeat) {
    Machine machine = machineOf(heartbeat);
    return machine != null
        && !machine.empty()
        && machine.unacknowledgedFor(term.scheduler.nowMicros(), term.safety.leaseMicros());
  }

  /** Whether the machine has a record that is not durable yet, and could be started once it is. */
  public boolean awaitsDurableRecord(String machineId) {
    Machine machine = term.cluster.machines.get(machineId);
    if (machine == null) {
      return false;
    }
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.durable && !assignment.evicting) {
        return true;
      }
    }
    return false;
  }

  /**
   * The commands that answer the heartbeat, empty for an unknown machine. Notes that they are sent
   * and that the worker's lease is renewed: to be called only when the answer goes out, and before
   * {@link #tokenFor}, because the commands may need a higher token.
   */
  public List<WorkerCommand> commandsFor(Heartbeat heartbeat) {
    Machine machine = machineOf(heartbeat);
    if (machine == null) {
      return List.of();
    }
    long nowMicros = term.scheduler.nowMicros();
    noteAnswered(machine, nowMicros);
    machine.lastHeardMicros = nowMicros;
    CommandPlan plan = planner.planAnswer(machine, heartbeat, term.election.holdsLease());
    SentCommands.noteAnswer(machine, plan, heartbeat.sequence(), nowMicros);
    return plan.commands();
  }

  /**
   * The commands that answer an overtaken heartbeat: stops only, and empty for an unknown machine.
   * That answer renews the worker's lease too. Such answers were once not counted, so that the
   * machine was taken for empty up to a heartbeat interval before it was; and they carried no
   * stops, so that cancelled tasks lived on with them.
   */
  public List<WorkerCommand> commandsForOvertaken(Heartbeat heartbeat) {
    Machine machine = machineOf(heartbeat);
    if (machine == null) {
      return List.of();
    }
    long nowMicros = term.scheduler.nowMicros();
    noteAnswered(machine, nowMicros);
    CommandPlan plan = planner.planStops(machine, heartbeat);
    SentCommands.noteAnswer(machine, plan, heartbeat.sequence(), nowMicros);
    return plan.commands();
  }

  /** The fencing token that goes out with the answer to the heartbeat. */
  public long tokenFor(Heartbeat heartbeat) {
    Machine machine = machineOf(heartbeat);
    return machine == null
        ? FencingToken.echo(heartbeat.token(), term.number)
        : sent.issueToken(machine, heartbeat.token());
  }

  /** Sends what cannot wait for the machine's next heartbeat; true if a request went out. */
  public boolean sendDirect(Machine machine) {
    return direct.send(machine);
  }

  private Machine machineOf(Heartbeat heartbeat) {
    return term.cluster.machines.get(heartbeat.machine());
  }

  /** The answer renews the worker's lease. */
  private static void noteAnswered(Machine machine, long nowMicros) {
    machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, nowMicros);
    machine.answeredInTerm = true;
  }
}
