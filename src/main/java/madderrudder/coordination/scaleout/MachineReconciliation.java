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
 * Reconciles each machine of the leader's log with the cloud's list and the machine's heartbeats:
 * collects the facts, lets {@link MachineReconciler} decide, and acts on the decision.
 */
final class MachineReconciliation {
  private static final Logger LOG = LoggerFactory.getLogger(MachineReconciliation.class);

  /** A machine that has not come up is overdue after this many times the boot time of its type. */
  private static final int OVERDUE_BOOT_FACTOR = 4;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final RentalRequests requests;
  private final ListedMachines listed;
  private final CapacityPoolLimits poolLimits;

  /** When work could last not be placed in this term, since the lease on the store had expired. */
  private long noLeaseUntilMicros = Long.MIN_VALUE / 2;

  MachineReconciliation(
      LeaderTerm term,
      MachineRegistry machines,
      RentalRequests requests,
      ListedMachines listed,
      CapacityPoolLimits poolLimits) {
    this.term = term;
    this.machines = machines;
    this.requests = requests;
    this.listed = listed;
    this.poolLimits = poolLimits;
  }

  /** Decides on each machine and acts on it. */
  void run(long nowMicros, ClusterCoverage coverage) {
    boolean mayRetire = placingLongEnough(nowMicros);
    boolean mostSilent = mostAreSilent();
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      MachineDecision decision =
          MachineReconciler.of(facts(machine, nowMicros, mostSilent), requests.ownedStillOpen());
      switch (decision.verdict()) {
        case RETURN -> {
          if (mayRetire && (!idle(machine) || coverage.suffices())) {
            retire(machine, decision.reason(), nowMicros);
          }
        }
        case GONE -> remove(machine, decision.reason());
        default -> {}
      }
    }
  }

  /**
   * Whether work could be placed for as long as an idle machine is kept. An outage of the store
   * that outlasts the workers' leases empties all machines, and leaves them without heartbeats,
   * since these are not answered. If machines were returned because of that, the jobs that waited
   * through the outage would also wait for boots and images.
   */
  private boolean placingLongEnough(long nowMicros) {
    if (!term.election.holdsLease()) {
      noLeaseUntilMicros = nowMicros;
    }
    return nowMicros - noLeaseUntilMicros > term.policy.idleMicros();
  }

  /** Whether more machines are silent than up: rather the leader is cut off than all of them. */
  private boolean mostAreSilent() {
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
   * Whether a machine that is to be returned works, so that the reason is that nobody needs it.
   * That is known only once enough of the cluster has been heard.
   */
  private static boolean idle(Machine machine) {
    return machine.reported && !machine.leaseExpired && !machine.failed;
  }

  private void retire(Machine machine, String reason, long nowMicros) {
    // A machine that an earlier leader rented may have come up and failed since.
    if (machine.booting() && !machine.inherited) {
      poolLimits.recordBootFailure(machine.capacityPool(), nowMicros);
    }
    machines.retire(machine, reason);
  }

  private void remove(Machine machine, String reason) {
    LOG.info("{} is gone: {}", machine.id, reason);
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
    return listed.isMissing(machine) ? Listed.MISSING : Listed.UNKNOWN;
  }

  private Worker workerState(Machine machine, long nowMicros) {
    if (machine.leaseExpired) {
      return Worker.LEASE_EXPIRED;
    }
    boolean missedHeartbeat =
        machine.missedHeartbeat(nowMicros, term.deployment.workers().reportMicros());
    if (machine.unacknowledgedFor(nowMicros, term.safety.leaseMicros()) && !missedHeartbeat) {
      return Worker.UNACKNOWLEDGED;
    }
    if (!machine.reported) {
      return overdue(machine, nowMicros) ? Worker.OVERDUE : Worker.EXPECTED;
    }
    if (machine.empty() && nowMicros - machine.idleSinceMicros > term.policy.idleMicros()) {
      return Worker.IDLE;
    }
    return missedHeartbeat ? Worker.SILENT : Worker.REPORTS;
  }

  /**
   * Whether a machine without any heartbeat in this term should have come up. The time since this
   * leader knows of it counts too: a worker that has been up for long may not have found its way to
   * a new leader yet.
   */
  private boolean overdue(Machine machine, long nowMicros) {
    long knownForMicros = nowMicros - machine.discoveredMicros;
    long ageMicros = term.scheduler.wallMicros() - machine.rentedWallMicros;
    long bootLimitMicros =
        Math.max(OVERDUE_BOOT_FACTOR * machine.type.bootMicros(), term.policy.idleMicros());
    return knownForMicros > 2 * term.safety.leaseMicros() && ageMicros > bootLimitMicros;
  }
}
