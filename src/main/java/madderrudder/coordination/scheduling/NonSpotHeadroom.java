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

  /** Returns the missing headroom, in billionths of a processor; 0 or less if none is missing. */
  static long shortfallNanoCpus(PlanningRound round) {
    Cluster cluster = round.cluster();
    if (!cluster.scaleOutTooSlow() || !round.demand().promptNeedsNonSpot()) {
      return 0;
    }
    long totalNanoCpus = 0;
    long nonSpotNanoCpus = 0;
    for (Machine machine : cluster.machines.values()) {
      if (machine.retiring || machine.leaseExpired || machine.failed) {
        continue;
      }
      totalNanoCpus += machine.type.capacity().nanoCpus();
      if (!machine.spot) {
        nonSpotNanoCpus += machine.type.capacity().nanoCpus() - productionNanoCpus(machine);
      }
    }
    return (long) (round.policy().headroom() * totalNanoCpus) - nonSpotNanoCpus;
  }

  private static long productionNanoCpus(Machine machine) {
    long nanoCpus = 0;
    for (Assignment assignment : machine.assignments.values()) {
      if (assignment.job != null && assignment.job.spec.priority() == Priority.PRODUCTION) {
        nanoCpus += assignment.resources.nanoCpus();
      }
    }
    return nanoCpus;
  }
}
