package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Priority;

/**
 * The headroom on steady machines for work that must start before a machine could boot for it.
 * Production that may not use spot instances can only start at once on steady machines, in free
 * capacity or in place of other work. Ordinary work is sent to steady machines until there is that
 * headroom.
 */
final class SteadyHeadroom {
  private SteadyHeadroom() {}

  /** How much is missing, in thousandths of a processor; 0 or less if nothing is. */
  static long shortfallMilliCpus(PlanningRound round) {
    Cluster cluster = round.cluster();
    if (!cluster.scaleOutTooSlow() || !round.demand().promptNeedsSteady()) {
      return 0;
    }
    long total = 0;
    long steady = 0;
    for (Machine machine : cluster.machines.values()) {
      if (machine.retiring || machine.leaseExpired || machine.failed) {
        continue;
      }
      total += machine.type.capacity().milliCpus();
      if (!machine.spot) {
        steady += machine.type.capacity().milliCpus() - productionMilliCpus(machine);
      }
    }
    return (long) (round.policy().headroom() * total) - steady;
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
