package madderrudder.coordination.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Priority;

/**
 * Production work on machines that have fallen silent, which is likely to be missing soon. It may
 * not be started elsewhere before their leases have expired, but what it will need then can boot
 * meanwhile; what turns out not to be needed is returned when idle.
 */
final class ProductionAtRisk {
  private ProductionAtRisk() {}

  /**
   * How many tasks of each job are at risk. None if most machines are silent: then it is rather
   * this node that is cut off.
   */
  static Map<Job, Integer> tasks(PlanningRound round) {
    ClusterCoverage coverage = round.demand().coverage();
    Map<Job, Integer> atRisk = new LinkedHashMap<>();
    int silent = 0;
    int known = 0;
    for (Machine machine : round.cluster().machines.values()) {
      boolean missed = coverage.misses(machine);
      if ((!machine.reported && !missed) || machine.leaseExpired || machine.retiring) {
        continue;
      }
      known++;
      if (missed || unreachable(round, machine)) {
        silent++;
        addProduction(machine, atRisk);
      }
    }
    return 2 * silent < known ? atRisk : Map.of();
  }

  private static boolean unreachable(PlanningRound round, Machine machine) {
    long reportMicros = round.cluster().deployment.workers().reportMicros();
    return machine.silent(round.nowMicros(), reportMicros)
        || machine.unacknowledgedFor(
            round.nowMicros(), Machine.missedHeartbeatsMicros(reportMicros));
  }

  private static void addProduction(Machine machine, Map<Job, Integer> atRisk) {
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.job != null
          && !assignment.evicting
          && assignment.job.spec.priority() == Priority.PRODUCTION) {
        atRisk.merge(assignment.job, 1, Integer::sum);
      }
    }
  }
}
