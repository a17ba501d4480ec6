package madderrudder.coordination.heartbeat;

import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies heartbeats to the cluster state: registers unknown machines, detects new epochs, and
 * updates the state of the worker and its tasks. Confined to the event loop thread.
 */
final class HeartbeatIngest {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatIngest.class);

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final ScaleOutController scaleOut;
  private final TaskStatusIngest tasks;
  private final Runnable onCapacityFreed;

  /**
   * Creates the ingest of one term.
   *
   * @param onCapacityFreed run when a heartbeat may have made capacity available for a task that
   *     could not be placed before
   */
  HeartbeatIngest(
      LeaderTerm term,
      MachineRegistry machines,
      ScaleOutController scaleOut,
      TaskStatusIngest tasks,
      Runnable onCapacityFreed) {
    this.term = term;
    this.machines = machines;
    this.scaleOut = scaleOut;
    this.tasks = tasks;
    this.onCapacityFreed = onCapacityFreed;
  }

  /**
   * Applies a heartbeat if it is newer than the last report of its worker. Registers the machine if
   * it is unknown; a heartbeat of a machine that was deleted in this term is stale.
   */
  Freshness accept(Heartbeat heartbeat) {
    Machine machine = term.cluster.machines.get(heartbeat.machine());
    if (machine == null) {
      if (machines.wasRemoved(heartbeat.machine())) {
        return Freshness.STALE;
      }
      machine = register(heartbeat);
    }
    long nowMicros = term.scheduler.nowMicros();
    Freshness freshness = Freshness.of(machine, heartbeat, nowMicros);
    if (freshness == Freshness.NEW) {
      applyHeartbeat(machine, heartbeat, nowMicros);
    } else if (freshness == Freshness.OVERTAKEN
        && heartbeat.sequence() > machine.heartbeatSequence) {
      machine.heartbeatSequence = heartbeat.sequence();
      machine.heartbeatMicros = nowMicros;
    }
    return freshness;
  }

  private void applyHeartbeat(Machine machine, Heartbeat heartbeat, long nowMicros) {
    trackAcknowledgement(machine, heartbeat, nowMicros);
    boolean firstReport = !machine.reported;
    if (firstReport || machine.leaseExpired) {
      machine.idleSinceMicros = nowMicros;
      scaleOut.recordMachineUp(machine);
      LOG.info("machine {} is up", machine.id);
    }
    updateWorkerState(machine, heartbeat, nowMicros);
    boolean capacityFreed = tasks.applyStatuses(machine, heartbeat, nowMicros);
    capacityFreed |= tasks.releaseAbsentAssignments(machine);
    if (capacityFreed || firstReport) {
      onCapacityFreed.run();
    }
  }

  /** Adds the unknown machine that sent a heartbeat. */
  private Machine register(Heartbeat heartbeat) {
    Machine machine =
        machines.add(
            heartbeat.machine(),
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.spot(),
            scaleOut.noMachineRentedYet(),
            term.scheduler.wallClockMicros());
    LOG.info(
        "first heartbeat from unknown machine {} ({} {}{}), {}",
        machine.id,
        heartbeat.type(),
        heartbeat.zone(),
        heartbeat.spot() ? " spot" : "",
        machine.owned ? "owned" : "rented");
    machines.queueRecord(machine);
    // A rented machine may have been returned long ago and this heartbeat may be a delayed copy. No
    // task is placed on the machine until its worker acknowledges an answer.
    if (!machine.owned) {
      expectAcknowledgementUnlessSeen(machine, heartbeat, term.scheduler.nowMicros());
    }
    return machine;
  }

  /** Uses the token in a heartbeat to determine whether answers reach the worker. */
  private void trackAcknowledgement(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (machine.reported && heartbeat.epoch() > machine.epoch) {
      beginEpoch(machine);
      machine.expectAcknowledgement(nowMicros);
    } else if (machine.reported && machine.answeredInTerm) {
      // An earlier answer carried this term's token; a lower token here shows that it did not reach
      // the worker.
      expectAcknowledgementUnlessSeen(machine, heartbeat, machine.lastHeartbeatAnsweredMicros);
    }
    if (machine.recordAcknowledgement(heartbeat.token())) {
      LOG.debug("machine {} acknowledged an answer", machine.id);
    }
  }

  private void expectAcknowledgementUnlessSeen(
      Machine machine, Heartbeat heartbeat, long sinceMicros) {
    if (FencingToken.term(heartbeat.token()) < term.number) {
      machine.expectAcknowledgement(sinceMicros);
    }
  }

  /**
   * Handles a new epoch, which follows the expiry of the worker's lease: the worker has killed the
   * tasks that this leader started, and rejects commands of the old epoch. Tasks that an earlier
   * leader started may belong to the new epoch, because both heartbeats may have been delayed in
   * the network since before those starts. Releasing such tasks here would run them twice, so they
   * are released only after a heartbeat that carries this term's token.
   */
  private void beginEpoch(Machine machine) {
    LOG.info("machine {} began a new epoch, releasing the tasks placed in this term", machine.id);
    machines.handleNewEpoch(machine);
    machine.heartbeatSequence = -1;
  }

  private void updateWorkerState(Machine machine, Heartbeat heartbeat, long nowMicros) {
    machine.reported = true;
    machine.leaseExpired = false;
    machine.failed = false;
    machine.epoch = heartbeat.epoch();
    machine.sequence = heartbeat.sequence();
    machine.seenToken = heartbeat.token();
    machine.reportedInTerm |= FencingToken.term(heartbeat.token()) >= term.number;
    machine.heartbeatSequence = heartbeat.sequence();
    machine.heartbeatMicros = nowMicros;
    machine.address = heartbeat.address().isEmpty() ? machine.address : heartbeat.address();
    machine.reclaimMicros =
        heartbeat.reclaimNoticeMicros() < 0 ? -1 : nowMicros + heartbeat.reclaimNoticeMicros();
  }
}
