package madderrudder.coordination.scaleout;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.reconciliation.MachineDecision;
import madderrudder.coordination.reconciliation.MachineFacts;
import madderrudder.coordination.reconciliation.MachineReconciler;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.CloudCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies the cloud's machine list to the cluster state: updates the address and failure of known
 * machines, adopts machines that the leader's log lacks, and records which known machines are
 * missing from the list.
 */
final class MachineListTracker {
  private static final Logger LOG = LoggerFactory.getLogger(MachineListTracker.class);

  /**
   * Bound of the delay until a request shows in a list, as a multiple of the usual list lag. A list
   * may lag by twice the usual lag, and a request may take as long again to show.
   */
  private static final int MAX_LAG_FACTOR = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final RentalRequests requests;

  /**
   * When a list first named each machine that the leader's log lacks, by machine id, on the
   * monotonic clock.
   */
  private final Map<String, Long> unknownSinceMicros = new HashMap<>();

  /**
   * The ids of known machines that the last complete list lacks, although it would contain them if
   * they existed.
   */
  private final Set<String> missingIds = new HashSet<>();

  MachineListTracker(LeaderTerm term, MachineRegistry machines, RentalRequests requests) {
    this.term = term;
    this.machines = machines;
    this.requests = requests;
  }

  /**
   * Returns whether the last complete list proves that the machine no longer exists in the cloud.
   */
  boolean isMissing(Machine machine) {
    return missingIds.contains(machine.id);
  }

  /**
   * Updates the machine that one entry of a list names, or adopts it if the leader's log lacks it.
   */
  void observe(CloudCodec.ListedMachine entry) {
    Machine machine = term.cluster.machines.get(entry.id());
    if (machine != null) {
      update(machine, entry);
    } else if (!term.cluster.types.isEmpty()) {
      observeUnknown(entry);
    }
  }

  private static void update(Machine machine, CloudCodec.ListedMachine entry) {
    if (machine.address.isEmpty()) {
      machine.address = entry.address();
    }
    machine.failed |= entry.state() == CloudCodec.MachineState.FAILED;
  }

  /**
   * Handles a listed machine that the leader's log lacks. A machine that this leader has just
   * rented may be listed before the rental response names it, and a machine that an earlier leader
   * deleted stays listed for a while. A machine that is listed for longer is adopted, and is then
   * used or returned like any other.
   */
  private void observeUnknown(CloudCodec.ListedMachine entry) {
    boolean nothingRentedOrPending = requests.noMachineRentedYet() && requests.pendingCount() == 0;
    boolean listedBeyondLag = !nothingRentedOrPending && isListedBeyondMaxLag(entry.id());
    MachineDecision decision =
        MachineReconciler.decide(
            factsOfUnknown(entry.id(), listedBeyondLag), nothingRentedOrPending);
    switch (decision.verdict()) {
      case ADOPT_OWNED -> machines.queueRecord(adopt(entry, true));
      case ADOPT -> machines.queueRecord(adopt(entry, false));
      default -> {}
    }
  }

  private boolean isListedBeyondMaxLag(String machineId) {
    long nowMicros = term.scheduler.nowMicros();
    long listedSinceMicros = unknownSinceMicros.computeIfAbsent(machineId, id -> nowMicros);
    return nowMicros - listedSinceMicros > maxLagMicros();
  }

  private MachineFacts factsOfUnknown(String machineId, boolean listedBeyondLag) {
    return new MachineFacts(
        machines.wasRemoved(machineId) ? MachineFacts.Recorded.REMOVED : MachineFacts.Recorded.NO,
        false,
        false,
        listedBeyondLag ? MachineFacts.Listed.LISTED_FOR_LONG : MachineFacts.Listed.LISTED,
        MachineFacts.Worker.EXPECTED,
        true,
        false);
  }

  private Machine adopt(CloudCodec.ListedMachine entry, boolean owned) {
    LOG.info(
        "adopting listed machine {} ({} {}), {}",
        entry.id(),
        entry.type(),
        entry.zone(),
        owned ? "owned" : "unexpected");
    Machine machine =
        machines.add(
            entry.id(),
            entry.type(),
            entry.zone(),
            entry.spot(),
            owned,
            term.scheduler.wallClockMicros() - entry.ageMicros());
    machine.address = entry.address();
    return machine;
  }

  /**
   * Records which known machines a complete list lacks. The cloud lists a machine until it is gone,
   * so a machine that is older than the longest lag and not in the list is gone together with its
   * tasks. These tasks need not wait for a lease to expire.
   *
   * @param listedIds the machine ids on all pages of the list
   */
  void observeCompleteList(Set<String> listedIds) {
    unknownSinceMicros.keySet().retainAll(listedIds);
    missingIds.clear();
    long minAgeMicros = maxLagMicros() + 2 * term.deployment.maxClockErrorMicros();
    long wallMicros = term.scheduler.wallClockMicros();
    for (Machine machine : term.cluster.machines.values()) {
      long ageMicros = wallMicros - machine.rentedWallMicros;
      if (!listedIds.contains(machine.id) && ageMicros > minAgeMicros) {
        missingIds.add(machine.id);
      }
    }
  }

  private long maxLagMicros() {
    return MAX_LAG_FACTOR * term.deployment.cloud().listLagMicros();
  }
}
