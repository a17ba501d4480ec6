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
 * What the cloud's machine list says: keeps the address and failure of known machines up to date,
 * adopts machines that the leader's log lacks, and remembers which known machines are missing.
 */
final class ListedMachines {
  private static final Logger LOG = LoggerFactory.getLogger(ListedMachines.class);

  /**
   * In units of the usual lag. A list lags by up to twice the usual lag, and a request may take as
   * long again until it shows.
   */
  private static final int MAX_LAG_FACTOR = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final RentalRequests requests;

  /**
   * When a list first named a machine that the leader's log lacks, by machine id, on the
   * scheduler's clock.
   */
  private final Map<String, Long> unexpectedSinceMicros = new HashMap<>();

  /** The known machines that the last whole list lacks, though it would name them if they ran. */
  private final Set<String> missing = new HashSet<>();

  ListedMachines(LeaderTerm term, MachineRegistry machines, RentalRequests requests) {
    this.term = term;
    this.machines = machines;
    this.requests = requests;
  }

  /** Whether the last whole list proves that the machine is gone from the cloud. */
  boolean isMissing(Machine machine) {
    return missing.contains(machine.id);
  }

  /** Takes over one entry of a list. */
  void observe(CloudCodec.ListedMachine entry) {
    Machine machine = term.cluster.machines.get(entry.id());
    if (machine != null) {
      update(machine, entry);
    } else if (!term.cluster.types.isEmpty()) {
      observeUnexpected(entry);
    }
  }

  private static void update(Machine machine, CloudCodec.ListedMachine entry) {
    if (machine.address.isEmpty()) {
      machine.address = entry.address();
    }
    machine.failed |= entry.state() == CloudCodec.MachineState.FAILED;
  }

  /**
   * A machine that this leader just rented may be listed before the response names it, and one that
   * an earlier leader deleted is listed for a while. A machine that stays listed is unexpected: it
   * is used or returned.
   */
  private void observeUnexpected(CloudCodec.ListedMachine entry) {
    boolean nothingRented = requests.ownedStillOpen() && requests.openCount() == 0;
    boolean lasting = !nothingRented && listedLongerThanAnyLag(entry.id());
    MachineDecision decision =
        MachineReconciler.of(factsOfUnexpected(entry.id(), lasting), nothingRented);
    switch (decision.verdict()) {
      case ADOPT_OWNED -> machines.save(adopt(entry, true));
      case ADOPT -> machines.save(adopt(entry, false));
      default -> {}
    }
  }

  private boolean listedLongerThanAnyLag(String machineId) {
    long nowMicros = term.scheduler.nowMicros();
    long sinceMicros = unexpectedSinceMicros.computeIfAbsent(machineId, id -> nowMicros);
    return nowMicros - sinceMicros > maxLagMicros();
  }

  private MachineFacts factsOfUnexpected(String machineId, boolean lasting) {
    return new MachineFacts(
        machines.wasRemoved(machineId) ? MachineFacts.Recorded.GONE : MachineFacts.Recorded.NO,
        false,
        false,
        lasting ? MachineFacts.Listed.LASTING : MachineFacts.Listed.THERE,
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
            term.scheduler.wallMicros() - entry.ageMicros());
    machine.address = entry.address();
    return machine;
  }

  /**
   * Takes over which machines a whole list names. A machine once listed stays listed until it is
   * gone, so one that is older than any lag and not in the list is gone with everything on it: its
   * tasks need not wait for a lease to expire.
   *
   * @param listedIds the ids on all pages of the list
   */
  void observeWholeList(Set<String> listedIds) {
    unexpectedSinceMicros.keySet().retainAll(listedIds);
    missing.clear();
    long minAgeMicros = maxLagMicros() + 2 * term.deployment.clockOffMicros();
    long wallMicros = term.scheduler.wallMicros();
    for (Machine machine : term.cluster.machines.values()) {
      long ageMicros = wallMicros - machine.rentedWallMicros;
      if (!listedIds.contains(machine.id) && ageMicros > minAgeMicros) {
        missing.add(machine.id);
      }
    }
  }

  private long maxLagMicros() {
    return MAX_LAG_FACTOR * term.deployment.cloud().listLagMicros();
  }
}
