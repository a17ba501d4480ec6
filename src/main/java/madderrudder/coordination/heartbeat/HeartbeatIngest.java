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
 * Takes heartbeats into the cluster state: unknown machines, new epochs, the state of the worker
 * and of its tasks. Confined to the event loop thread.
 */
final class HeartbeatIngest {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatIngest.class);

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final ScaleOutController scaleOut;
  private final TaskStatusIngest tasks;
  private final Runnable onCapacityFreed;

  /** {@code onCapacityFreed} is run when a task may be placed that could not be before. */
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

  /** Takes a heartbeat in, if it is newer than what is known of its worker. */
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
      update(machine, heartbeat, nowMicros);
    } else if (freshness == Freshness.OVERTAKEN
        && heartbeat.sequence() > machine.heartbeatSequence) {
      machine.heartbeatSequence = heartbeat.sequence();
      machine.heartbeatMicros = nowMicros;
    }
    return freshness;
  }

  private void update(Machine machine, Heartbeat heartbeat, long nowMicros) {
    checkAcknowledgement(machine, heartbeat, nowMicros);
    boolean first = !machine.reported;
    if (first || machine.leaseExpired) {
      machine.idleSinceMicros = nowMicros;
      scaleOut.machineUp(machine);
      LOG.info("{} is up", machine.id);
    }
    updateWorkerState(machine, heartbeat, nowMicros);
    boolean freed = tasks.applyStatuses(machine, heartbeat, nowMicros);
    freed |= tasks.releaseGone(machine);
    if (freed || first) {
      onCapacityFreed.run();
    }
  }

  /** Adds the machine of a worker that is heard for the first time. */
  private Machine register(Heartbeat heartbeat) {
    Machine machine =
        machines.add(
            heartbeat.machine(),
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.spot(),
            scaleOut.ownedStillOpen(),
            term.scheduler.wallMicros());
    LOG.info(
        "first heartbeat of unknown machine {} ({} {}{}), {}",
        machine.id,
        heartbeat.type(),
        heartbeat.zone(),
        heartbeat.spot() ? " spot" : "",
        machine.owned ? "owned" : "rented");
    machines.save(machine);
    // It may have been returned long ago, and this heartbeat be a late copy: nothing is placed
    // there before its worker has answered.
    if (!machine.owned) {
      expectAcknowledgementUnlessSeen(machine, heartbeat, term.scheduler.nowMicros());
    }
    return machine;
  }

  /** Follows whether answers reach the worker, by the token that its heartbeat shows. */
  private void checkAcknowledgement(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (machine.reported && heartbeat.epoch() > machine.epoch) {
      beginEpoch(machine);
      machine.expectAcknowledgement(nowMicros);
    } else if (machine.reported && machine.answeredInTerm) {
      // The answer to an earlier heartbeat carried this term's token, and did not reach the worker.
      expectAcknowledgementUnlessSeen(machine, heartbeat, machine.lastHeardMicros);
    }
    if (machine.recordAcknowledgement(heartbeat.token())) {
      LOG.debug("answers reach {}", machine.id);
    }
  }

  private void expectAcknowledgementUnlessSeen(
      Machine machine, Heartbeat heartbeat, long sinceMicros) {
    if (FencingToken.term(heartbeat.token()) < term.number) {
      machine.expectAcknowledgement(sinceMicros);
    }
  }

  /**
   * The worker's lease ran out in between: it dropped what this leader had started, and old
   * commands no longer match. What an earlier leader started may belong to the new epoch, because
   * both heartbeats may be older than that, held on their way. Such tasks were once taken for gone
   * and ran twice, so they are released only by a heartbeat that knows this term.
   */
  private void beginEpoch(Machine machine) {
    LOG.info("{} begins a new epoch", machine.id);
    machines.releaseOwn(machine);
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
