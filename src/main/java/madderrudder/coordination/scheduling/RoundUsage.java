package madderrudder.coordination.scheduling;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Resources;

/** What a round of planning has used up so far, on top of the picture it must not change. */
final class RoundUsage {
  private final Cluster cluster;
  private final Map<Machine, Taken> taken = new HashMap<>();
  private final Map<Job, Map<String, Integer>> zones = new HashMap<>();
  private final Map<String, Resources> usage;

  /** What is left of a machine, and how many tasks of the last job it was given in this round. */
  private record Taken(Resources free, Job last, int addedOfLast) {}

  RoundUsage(Cluster cluster) {
    this.cluster = cluster;
    usage = cluster.usage();
  }

  private RoundUsage(RoundUsage other) {
    cluster = other.cluster;
    taken.putAll(other.taken);
    other.zones.forEach((job, counts) -> zones.put(job, new HashMap<>(counts)));
    usage = new HashMap<>(other.usage);
  }

  RoundUsage copy() {
    return new RoundUsage(this);
  }

  Resources free(Machine machine) {
    Taken so = taken.get(machine);
    return so == null ? machine.free() : so.free();
  }

  /** How many tasks of the job, which is the one being planned, the machine was given. */
  int added(Job job, Machine machine) {
    Taken so = taken.get(machine);
    return so == null || so.last() != job ? 0 : so.addedOfLast();
  }

  /** Nothing more goes to the machine in this round. */
  void keep(Machine machine) {
    taken.put(machine, new Taken(Resources.NONE, null, 0));
  }

  boolean kept(Machine machine) {
    return taken.containsKey(machine) && taken.get(machine).free().isNone();
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
    taken.put(
        machine, new Taken(free(machine).minus(job.spec.perTask()), job, added(job, machine) + 1));
    count(job, machine.zone);
  }

  /** Counts a task of the job against its team and the zone. */
  void count(Job job, String zone) {
    zones.computeIfAbsent(job, j -> new HashMap<>()).merge(zone, 1, Integer::sum);
    usage.merge(job.spec.team(), job.spec.perTask(), Resources::plus);
  }
}
