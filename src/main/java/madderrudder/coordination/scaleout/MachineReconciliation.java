package madderrudder.coordination.scaleout;

import java.util.List;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.reconciliation.MachineDecision;
import madderrudder.coordination.reconciliation.MachineFacts;
import madderrudder.coordination.reconciliation.MachineFacts.Listed;
import madderrudder.coordination.reconciliation.MachineFacts.Recorded;
import madderrudder.coordination.reconciliation.MachineFacts.Worker;
import madderrudder.coordination.reconciliation.MachineReconciler;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.state.CapacityPoolLimits;
import madderrudder.coordination.state.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reconciles each machine of the leader's log with the cloud's list and the machine's heartbeats.
 * It collects the facts, {@link MachineReconciler} decides, and this class carries out the
 * decision.
 */
final class MachineReconciliation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReconciliation.class);

  /** A machine without a first heartbeat is overdue after this multiple of its type's boot time. */
  private static final int OVERDUE_BOOT_FACTOR = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final RentalRequests requests;
  private final MachineListTracker machineList;
  private final CapacityPoolLimits poolLimits;

  /**
   * When the leader's lease was last found expired in this term, so that no work could be placed.
   */
  private long lastWithoutLeaseMicros = Long.MIN_VALUE / 2;

  MachineReconciliation(
      LeaderTerm term,
      MachineRegistry machines,
      RentalRequests requests,
      MachineListTracker machineList,
      CapacityPoolLimits poolLimits) {
    this.term = term;
    this.machines = machines;
    this.requests = requests;
    this.machineList = machineList;
    this.poolLimits = poolLimits;
  }

  /** Decides on each machine and carries out the decision. */
  void run(long nowMicros, ClusterCoverage coverage) {
    boolean mayRetire = canPlaceLongEnough(nowMicros);
    boolean mostSilent = mostMachinesAreSilent();
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      MachineDecision decision =
          MachineReconciler.decide(
              facts(machine, nowMicros, mostSilent), requests.noMachineRentedYet());
      switch (decision.verdict()) {
        case RETURN -> {
          if (mayRetire && (!isHealthy(machine) || coverage.suffices())) {
            retire(machine, decision.reason(), nowMicros);
          }
        }
        case REMOVE -> remove(machine, decision.reason());
        default -> {}
      }
    }
  }

  /**
   * Returns whether the leader has held its lease, and could place work, for as long as an idle
   * machine is kept. An outage of the store that outlasts the workers' leases leaves all machines
   * empty. They also appear silent, since the leader neither answers nor applies their heartbeats.
   * If machines were returned for that reason, the jobs that waited through the outage would then
   * also wait for machines to boot and fetch images.
   */
  private boolean canPlaceLongEnough(long nowMicros) {
    if (!term.election.holdsLease()) {
      lastWithoutLeaseMicros = nowMicros;
    }
    return nowMicros - lastWithoutLeaseMicros > term.policy.idleMicros();
  }

  /**
   * Returns whether at least as many machines are silent as up, in which case it is more likely
   * that the leader is partitioned than that all of them failed.
   */
  private boolean mostMachinesAreSilent() {
    int up = 0;
    int silent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.leaseExpired) {
        silent++;
      } else if (machine.reported) {
        up++;
      }
    }
    return up <= silent;
  }

  /**
   * Returns whether a machine works. If such a machine is to be returned, the reason is that no job
   * needs it, which is known only when enough of the cluster has sent heartbeats.
   */
  private static boolean isHealthy(Machine machine) {
    return machine.reported && !machine.leaseExpired && !machine.failed;
  }

  private void retire(Machine machine, String reason, long nowMicros) {
    // A machine that an earlier leader rented may have booted and failed later.
    if (machine.booting() && !machine.inherited) {
      poolLimits.recordBootFailure(machine.capacityPool(), nowMicros);
    }
    machines.retire(machine, reason);
  }

  private void remove(Machine machine, String reason) {
    LOG.info("machine {} is gone, removing it: {}", machine.id, reason);
    machines.remove(machine);
  }

  private MachineFacts facts(Machine machine, long nowMicros, boolean mostSilent) {
    return new MachineFacts(
        Recorded.YES,
        machine.owned,
        machine.retiring,
        listedState(machine),
        workerState(machine, nowMicros),
        machine.empty(),
        mostSilent);
  }

  private Listed listedState(Machine machine) {
    if (machine.failed) {
      return Listed.FAILED;
    }
    return machineList.isMissing(machine) ? Listed.MISSING : Listed.UNKNOWN;
  }

  private Worker workerState(Machine machine, long nowMicros) {
    if (machine.leaseExpired) {
      return Worker.LEASE_EXPIRED;
    }
    boolean missedHeartbeat =
        machine.missedHeartbeat(nowMicros, term.deployment.workers().heartbeatIntervalMicros());
    if (machine.unacknowledgedFor(nowMicros, term.safetyBounds.workerLeaseExpiryMicros())
        && !missedHeartbeat) {
      return Worker.UNACKNOWLEDGED;
    }
    if (!machine.reported) {
      return isBootOverdue(machine, nowMicros) ? Worker.OVERDUE : Worker.EXPECTED;
    }
    if (machine.empty() && nowMicros - machine.idleSinceMicros > term.policy.idleMicros()) {
      return Worker.IDLE;
    }
    return missedHeartbeat ? Worker.SILENT : Worker.REPORTS;
  }

  /**
   * Returns whether a machine without a heartbeat in this term should have booted by now. The time
   * since this leader discovered the machine also counts, because a worker that has long been up
   * may not have reached a new leader yet.
   */
  private boolean isBootOverdue(Machine machine, long nowMicros) {
    long knownForMicros = nowMicros - machine.discoveredMicros;
    long ageMicros = term.scheduler.wallClockMicros() - machine.rentedWallMicros;
    long bootLimitMicros =
        Math.max(OVERDUE_BOOT_FACTOR * machine.type.bootMicros(), term.policy.idleMicros());
    return knownForMicros > 2 * term.safetyBounds.workerLeaseExpiryMicros()
        && ageMicros > bootLimitMicros;
  }
}
