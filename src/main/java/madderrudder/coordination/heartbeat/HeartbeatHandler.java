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
 * Applies heartbeats to the cluster state and issues the commands and the fencing token of the
 * answers. The steps are separate: {@link #accept} updates the cluster state, and {@link
 * #issueCommands} plans an answer and records it as sent. Confined to the event loop thread.
 */
public final class HeartbeatHandler {
  private final LeaderTerm term;
  private final CommandPlanner planner;
  private final SentCommandRecorder commandRecorder;
  private final HeartbeatIngest ingest;
  private final DirectCommandSender directSender;

  /**
   * Creates the handler of one term.
   *
   * @param onCapacityFreed run when a task may be placed that could not be placed before
   * @param startDeferred tests whether no task of a job may be started yet, because the leader
   *     cannot yet determine how much capacity work that ranks before the job needs
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
    planner = new CommandPlanner(facts, term.deployment.workers().gangLossDetectionMicros());
    commandRecorder = new SentCommandRecorder(term.number);
    ingest = new HeartbeatIngest(term, machines, scaleOut, tasks, onCapacityFreed);
    directSender = new DirectCommandSender(term, planner, commandRecorder, tasks, onCapacityFreed);
  }

  /**
   * Applies a heartbeat to the cluster state if it is newer than the worker's last report, and
   * returns how it compares with the reports already received.
   */
  public Freshness accept(Heartbeat heartbeat) {
    return ingest.accept(heartbeat);
  }

  /** Applies a heartbeat that was already answered while the stored state was being read. */
  public void acceptAnsweredEarlier(Heartbeat heartbeat) {
    ingest.accept(heartbeat);
    Machine machine = findMachine(heartbeat);
    if (machine != null) {
      machine.answeredInTerm = true;
    }
  }

  /**
   * Returns whether the heartbeat must not be answered, because the machine may have tasks and has
   * acknowledged no answer for a whole lease. If such heartbeats are current, the worker's lease
   * has expired and it has killed its tasks; if they are delayed copies, no worker receives the
   * answer. In both cases withholding the answer loses nothing. After a lease without answers, the
   * tasks that earlier leaders placed on the machine have certainly ended; the worker cannot prove
   * that by acknowledging this term's token.
   */
  public boolean mustWithholdAnswer(Heartbeat heartbeat) {
    Machine machine = findMachine(heartbeat);
    return machine != null
        && !machine.empty()
        && machine.unacknowledgedFor(
            term.scheduler.nowMicros(), term.safetyBounds.workerLeaseExpiryMicros());
  }

  /** Returns whether the machine has a task that waits only for its record to become durable. */
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
   * Returns the commands that answer the heartbeat; empty for an unknown machine. Records the
   * commands as sent and the worker's lease as renewed, so it must be called only when the answer
   * is sent. It must be called before {@link #issueToken}, because the commands may require a
   * higher token.
   */
  public List<WorkerCommand> issueCommands(Heartbeat heartbeat) {
    Machine machine = findMachine(heartbeat);
    if (machine == null) {
      return List.of();
    }
    long nowMicros = term.scheduler.nowMicros();
    recordLeaseRenewal(machine, nowMicros);
    machine.lastHeartbeatAnsweredMicros = nowMicros;
    CommandPlan plan = planner.planAnswer(machine, heartbeat, term.election.holdsLease());
    SentCommandRecorder.recordAnswer(machine, plan, heartbeat.sequence(), nowMicros);
    return plan.commands();
  }

  /**
   * Returns the stops that answer an overtaken heartbeat; empty for an unknown machine. Records
   * them as sent and the worker's lease as renewed. Without that record, the leader would treat the
   * machine as empty up to one heartbeat interval too early; without the stops, the renewed lease
   * would keep cancelled tasks running.
   */
  public List<WorkerCommand> issueStops(Heartbeat heartbeat) {
    Machine machine = findMachine(heartbeat);
    if (machine == null) {
      return List.of();
    }
    long nowMicros = term.scheduler.nowMicros();
    recordLeaseRenewal(machine, nowMicros);
    CommandPlan plan = planner.planStops(machine, heartbeat);
    SentCommandRecorder.recordAnswer(machine, plan, heartbeat.sequence(), nowMicros);
    return plan.commands();
  }

  /**
   * Makes the sender of a stale heartbeat reject copies of earlier direct starts, if it may have
   * restarted and lost its token.
   */
  public void invalidateEarlierStarts(Heartbeat stale) {
    Machine machine = findMachine(stale);
    if (machine != null) {
      directSender.invalidateEarlierStarts(machine, stale);
    }
  }

  /** Returns the fencing token for the answer to the heartbeat, and records it as issued. */
  public long issueToken(Heartbeat heartbeat) {
    Machine machine = findMachine(heartbeat);
    return machine == null
        ? FencingToken.tokenForAnswer(heartbeat.token(), term.number)
        : commandRecorder.issueToken(machine, heartbeat.token());
  }

  /**
   * Sends the commands that cannot wait for the machine's next heartbeat.
   *
   * @return true if a request was sent
   */
  public boolean sendDirectCommands(Machine machine) {
    return directSender.send(machine);
  }

  private Machine findMachine(Heartbeat heartbeat) {
    return term.cluster.machines.get(heartbeat.machine());
  }

  /** Records that an answer renews the worker's lease. */
  private static void recordLeaseRenewal(Machine machine, long nowMicros) {
    machine.lastLeaseRenewalMicros = Math.max(machine.lastLeaseRenewalMicros, nowMicros);
    machine.answeredInTerm = true;
  }
}
