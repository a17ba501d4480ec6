package madderrudder.coordination.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Priority;

/**
 * Production tasks on machines that stopped reporting, which are likely to be lost. They may not be
 * started elsewhere before the leases of those machines have expired, but replacement machines can
 * boot in the meantime. Replacements that prove unnecessary are returned when idle.
 */
final class ProductionAtRisk {
  private ProductionAtRisk() {}

  /**
   * Returns how many tasks of each job are at risk. Empty if at least half of the machines are
   * silent: then this controller is more likely to be cut off than the machines.
   */
  static Map<Job, Integer> countByJob(PlanningRound round) {
    ClusterCoverage coverage = round.demand().coverage();
    Map<Job, Integer> atRisk = new LinkedHashMap<>();
    int silentMachines = 0;
    int knownMachines = 0;
    for (Machine machine : round.cluster().machines.values()) {
      boolean missing = coverage.isMissing(machine);
      if ((!machine.reported && !missing) || machine.leaseExpired || machine.retiring) {
        continue;
      }
      knownMachines++;
      if (missing || unreachable(round, machine)) {
        silentMachines++;
        addProductionTasks(machine, atRisk);
      }
    }
    return 2 * silentMachines < knownMachines ? atRisk : Map.of();
  }

  private static boolean unreachable(PlanningRound round, Machine machine) {
    long heartbeatIntervalMicros = round.cluster().deployment.workers().heartbeatIntervalMicros();
    return machine.silent(round.nowMicros(), heartbeatIntervalMicros)
        || machine.unacknowledgedFor(
            round.nowMicros(), Machine.silenceLimitMicros(heartbeatIntervalMicros));
  }

  private static void addProductionTasks(Machine machine, Map<Job, Integer> atRisk) {
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.job != null
          && !assignment.evicting
          && assignment.job.spec.priority() == Priority.PRODUCTION) {
        atRisk.merge(assignment.job, 1, Integer::sum);
      }
    }
  }
}
