package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;

/**
 * Decides what is stopped on machines that the cloud is about to reclaim: tasks that are not
 * expected to end in time. Left there they would be lost as well, and could not be started
 * elsewhere before the lease of the machine has expired; a gang that is stopped in time saves a
 * checkpoint. A pure function of what it is given.
 */
public final class SpotReclaimDrain {
  private SpotReclaimDrain() {}

  /** The tasks to stop. Replicas of services are left where they serve until the end. */
  public static List<Assignment> plan(Cluster cluster, long nowMicros) {
    List<Assignment> stops = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.reclaimMicros >= 0 && machine.reported && !machine.leaseExpired) {
        for (Assignment assignment : machine.assignments.values()) {
          if (cannotEndInTime(cluster, assignment, machine.reclaimMicros - nowMicros, nowMicros)) {
            stops.add(assignment);
          }
        }
      }
    }
    return stops;
  }

  private static boolean cannotEndInTime(
      Cluster cluster, Assignment assignment, long leftMicros, long nowMicros) {
    return assignment.job != null
        && !assignment.evicting
        && !assignment.completed
        && assignment.job.spec.kind() != JobKind.SERVICE
        && cluster.runTimes.remainingMicros(assignment, nowMicros) > leftMicros;
  }
}
