package madderrudder.coordination;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/** Which jobs lie within a guarantee, and which wait for room, in the order in which they shall get it. */
record Demand(Set<Job> guaranteed, List<Job> waiting) {
    private static final long NO_DEADLINE_MICROS = 120_000_000;

    static Demand of(Cluster cluster) {
        Set<Job> guaranteed = guaranteed(cluster);
        return new Demand(guaranteed, waiting(cluster, guaranteed));
    }

    /** Each fits into its team's guarantee together with the team's earlier unfinished jobs. */
    private static Set<Job> guaranteed(Cluster cluster) {
        Map<String, Resources> demand = new HashMap<>();
        List<Job> byAge = new ArrayList<>(cluster.jobs.values());
        byAge.sort(Comparator.comparingLong(job -> job.acceptedWallMicros));
        Set<Job> guaranteed = new HashSet<>();
        for (Job job : byAge) {
            Resources total = demand.merge(job.spec.team(), job.spec.perTask().times(job.undone()), Resources::plus);
            if (job.team.guarantees(total)) {
                guaranteed.add(job);
            }
        }
        return guaranteed;
    }

    /**
     * Production, then what lies within a guarantee, then by priority. What may be stopped for a job always
     * comes after it here, so room made by stopping never goes back to what was stopped.
     */
    private static List<Job> waiting(Cluster cluster, Set<Job> guaranteed) {
        List<Job> waiting = new ArrayList<>();
        for (Job job : cluster.jobs.values()) {
            if (!job.over && job.nextWaiting(0) >= 0) {
                waiting.add(job);
            }
        }
        waiting.sort(Comparator.<Job>comparingInt(job -> job.spec.priority() == Priority.PRODUCTION ? 0
                        : guaranteed.contains(job) ? 1 : 2)
                .thenComparingInt(job -> job.spec.priority().ordinal())
                .thenComparing(job -> !guaranteed.contains(job))
                .thenComparingLong(Demand::urgency));
        return waiting;
    }

    private static long urgency(Job job) {
        return job.acceptedWallMicros
                + (job.spec.deadlineMicros() > 0 ? job.spec.deadlineMicros() : NO_DEADLINE_MICROS);
    }
}
