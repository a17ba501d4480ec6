package madderrudder.coordination;

import java.util.HashMap;
import java.util.Map;
import madderrudder.protocol.Resources;

/** What a round of planning has used up so far, on top of the picture it must not change. */
final class Room {
    private final Cluster cluster;
    private final Map<Machine, Resources> free = new HashMap<>();
    private final Map<Job, Map<String, Integer>> zones = new HashMap<>();
    private final Map<Machine, Integer> added = new HashMap<>();
    private final Map<String, Resources> usage;

    Room(Cluster cluster) {
        this.cluster = cluster;
        usage = cluster.usage();
    }

    private Room(Room other) {
        cluster = other.cluster;
        free.putAll(other.free);
        other.zones.forEach((job, counts) -> zones.put(job, new HashMap<>(counts)));
        added.putAll(other.added);
        usage = new HashMap<>(other.usage);
    }

    Room copy() {
        return new Room(this);
    }

    Resources free(Machine machine) {
        return free.computeIfAbsent(machine, Machine::free);
    }

    int added(Machine machine) {
        return added.getOrDefault(machine, 0);
    }

    Resources usage(String team) {
        return usage.getOrDefault(team, Resources.NONE);
    }

    boolean teamAllows(Job job) {
        return job.team.allows(usage(job.spec.team()).plus(job.spec.perTask()));
    }

    boolean zoneAllows(Job job, String zone) {
        Map<String, Integer> planned = zones.getOrDefault(job, Map.of());
        if (job.spec.oneZone() && !planned.isEmpty() && !planned.containsKey(zone)) {
            return false;
        }
        return cluster.zoneAllowed(job, zone, planned.getOrDefault(zone, 0));
    }

    int planned(Job job, String zone) {
        return zones.getOrDefault(job, Map.of()).getOrDefault(zone, 0);
    }

    void take(Job job, Machine machine) {
        free.put(machine, free(machine).minus(job.spec.perTask()));
        added.merge(machine, 1, Integer::sum);
        count(job, machine.zone);
    }

    /** Counts a task of the job against its team and the zone. */
    void count(Job job, String zone) {
        zones.computeIfAbsent(job, j -> new HashMap<>()).merge(zone, 1, Integer::sum);
        usage.merge(job.spec.team(), job.spec.perTask(), Resources::plus);
    }
}
