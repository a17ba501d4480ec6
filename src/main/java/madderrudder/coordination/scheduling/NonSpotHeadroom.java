package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Priority;

/**
 * The headroom on owned and on-demand machines for jobs that must start before a machine could boot
 * for them. Production that may not use spot machines can start at once only on other machines, in
 * free capacity or by preemption. While that headroom is short, on-demand machines are requested in
 * preference to spot machines.
 */
final class NonSpotHeadroom {
  private NonSpotHeadroom() {}

  /** Returns the missing headroom, in thousandths of a processor; 0 or less if none is missing. */
  static long shortfallMilliCpus(PlanningRound round) {
    Cluster cluster = round.cluster();
    if (!cluster.scaleOutTooSlow() || !round.demand().promptNeedsNonSpot()) {
      return 0;
    }
    long totalMilliCpus = 0;
    long nonSpotMilliCpus = 0;
    for (Machine machine : cluster.machines.values()) {
      if (machine.retiring || machine.leaseExpired || machine.failed) {
        continue;
      }
      totalMilliCpus += machine.type.capacity().milliCpus();
      if (!machine.spot) {
        nonSpotMilliCpus += machine.type.capacity().milliCpus() - productionMilliCpus(machine);
      }
    }
    return (long) (round.policy().headroom() * totalMilliCpus) - nonSpotMilliCpus;
  }

  private static long productionMilliCpus(Machine machine) {
    long milliCpus = 0;
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.job != null && assignment.job.spec.priority() == Priority.PRODUCTION) {
        milliCpus += assignment.resources.milliCpus();
      }
    }
    return milliCpus;
  }
}
