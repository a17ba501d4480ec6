package madderrudder.coordination;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.Kind;

/**
 * Decides what is stopped on machines that the cloud is about to take away: what is not expected to end in time. Left
 * there it would be lost as well, and could not be started again elsewhere before the lease of the machine is over; a
 * gang that is told in time saves its progress. A pure function of what it is given.
 */
final class Evacuation {
    private Evacuation() {
    }

    /** Replicas are left where they serve until the end. */
    static List<Assignment> plan(Cluster cluster, long nowMicros) {
        List<Assignment> stops = new ArrayList<>();
        for (Machine machine : cluster.machines.values()) {
            if (machine.recallMicros >= 0 && machine.reported && !machine.lapsed) {
                for (Assignment assignment : machine.assignments.values()) {
                    if (assignment.job != null && !assignment.unwanted && !assignment.completed
                            && assignment.job.spec.kind() != Kind.SERVICE
                            && left(cluster, assignment, nowMicros) > machine.recallMicros - nowMicros) {
                        stops.add(assignment);
                    }
                }
            }
        }
        return stops;
    }

    /** How long it is expected to run still; of one that runs for longer than expected nothing is known. */
    private static long left(Cluster cluster, Assignment assignment, long nowMicros) {
        long expected = cluster.expectedRunMicros(assignment.job.spec);
        long ran = assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
        return ran < expected ? expected - ran : ran;
    }
}
