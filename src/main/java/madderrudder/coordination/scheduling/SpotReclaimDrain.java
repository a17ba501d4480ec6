package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;

/**
 * Decides which tasks are stopped on machines that the cloud is about to reclaim: those that are
 * not expected to end in time. They would be lost with the machine anyway, and could then be
 * started elsewhere only after its lease has expired; a gang that is stopped in time saves a
 * checkpoint. A pure function of its arguments.
 */
public final class SpotReclaimDrain {
  private SpotReclaimDrain() {}

  /**
   * Returns the tasks to stop. Replicas of services are not stopped: they serve requests until the
   * machine is reclaimed.
   *
   * @param nowMicros the time on the monotonic clock, in microseconds
   */
  public static List<Assignment> plan(Cluster cluster, long nowMicros) {
    List<Assignment> tasksToStop = new ArrayList<>();
    for (Machine machine : cluster.machines.values()) {
      if (machine.reclaimMicros >= 0 && machine.reported && !machine.leaseExpired) {
        for (Assignment assignment : machine.assignments.values()) {
          if (cannotEndInTime(cluster, assignment, machine.reclaimMicros - nowMicros, nowMicros)) {
            tasksToStop.add(assignment);
          }
        }
      }
    }
    return tasksToStop;
  }

  private static boolean cannotEndInTime(
      Cluster cluster, Assignment assignment, long untilReclaimMicros, long nowMicros) {
    return assignment.job != null
        && !assignment.evicting
        && !assignment.completed
        && assignment.job.spec.kind() != JobKind.SERVICE
        && cluster.runTimes.remainingMicros(assignment, nowMicros) > untilReclaimMicros;
  }
}
