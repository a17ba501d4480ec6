package madderrudder.coordination.scheduling;

import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;

/** Compares the machines on which a task fits, so that each task goes to the cheapest one. */
final class PlacementCost {
  /**
   * The cost of a machine for each replica of the same service on it, in seconds of image fetching.
   * The loss of one machine should affect few replicas, because they are missing for a whole lease.
   * A fetch delays every replica, so a few replicas on a machine cost less than fetching the image.
   */
  private static final double SAME_SERVICE_REPLICA_COST_S = 0.6;

  /** The same cost for each replica of another service on the machine. */
  private static final double OTHER_SERVICE_REPLICA_COST_S = 0.15;

  /** The cost of a rented machine; exceeds all other costs, so that owned machines come first. */
  private static final double RENTED_MACHINE_COST_S = 1000;

  /** The cost of a machine that is not a spot machine, for a job that may use spot machines. */
  private static final double NON_SPOT_MACHINE_COST_S = 2;

  private PlacementCost() {}

  /**
   * Returns the cost of placing a task of the job on the machine, in seconds: the time to fetch the
   * image, the share of processors left unused, and the surcharges defined above.
   *
   * @param usage what the round has allocated so far
   */
  static double seconds(Job job, Machine machine, RoundUsage usage) {
    JobSpec spec = job.spec;
    double cost = machine.owned ? 0 : RENTED_MACHINE_COST_S;
    if (!machine.hasImage(spec.image())) {
      cost += spec.imageGb() / machine.type.fetchGbPerSecond();
    }
    long nanoCpusLeft = usage.free(machine).nanoCpus() - spec.resourcesPerTask().nanoCpus();
    cost += (double) nanoCpusLeft / Math.max(1, machine.type.capacity().nanoCpus());
    if (spec.spotAllowed() && !machine.spot) {
      cost += NON_SPOT_MACHINE_COST_S;
    }
    if (spec.kind() == JobKind.SERVICE) {
      cost += usage.addedTasks(job, machine) * SAME_SERVICE_REPLICA_COST_S;
      for (Assignment assignment : machine.assignments.values()) {
        if (assignment.job != null && assignment.job.spec.kind() == JobKind.SERVICE) {
          cost +=
              assignment.job == job ? SAME_SERVICE_REPLICA_COST_S : OTHER_SERVICE_REPLICA_COST_S;
        }
      }
    }
    return cost;
  }
}
