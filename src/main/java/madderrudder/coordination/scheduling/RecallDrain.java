package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;

/**
 * Decides what is stopped on machines that the cloud is about to take away: what is not expected to
 * end in time. Left there it would be lost as well, and could not be started again elsewhere before
 * the lease of the machine is over; a gang that is told in time saves its progress. A pure function
 * of what it is given.
 */
public final class RecallDrain {
  private RecallDrain() {}

  /** Replicas are left where they serve until the end. */
  public static List<Assignment> plan(Cluster cluster, long nowMicros) {
    List<Assignment> stops = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.reclaimMicros >= 0 && machine.reported && !machine.leaseExpired) {
        for (Assignment assignment : machine.assignments.values()) {
          if (assignment.job != null
              && !assignment.evicting
              && !assignment.completed
              && assignment.job.spec.kind() != JobKind.SERVICE
              && cluster.runTimes.leftMicros(assignment, nowMicros)
                  > machine.reclaimMicros - nowMicros) {
            stops.add(assignment);
          }
        }
      }
    }
    return stops;
  }
}
