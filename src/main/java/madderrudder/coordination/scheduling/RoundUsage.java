package madderrudder.coordination.scheduling;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;

/**
 * What a planning round has used up so far, on top of the cluster state, which it does not change.
 */
final class RoundUsage {
  private final Cluster cluster;
  private final Map<Machine, MachineUsage> usedMachines = new HashMap<>();
  private final Map<Job, Map<String, Integer>> plannedInZones = new HashMap<>();
  private final Map<String, Resources> usageOfTeams;

  /** What is left of a machine, and how many tasks of the last job it was given in this round. */
  private record MachineUsage(Resources free, Job lastJob, int addedOfLastJob) {}

  RoundUsage(Cluster cluster) {
    this.cluster = cluster;
    usageOfTeams = cluster.usage();
  }

  private RoundUsage(RoundUsage other) {
    cluster = other.cluster;
    usedMachines.putAll(other.usedMachines);
    other.plannedInZones.forEach((job, counts) -> plannedInZones.put(job, new HashMap<>(counts)));
    usageOfTeams = new HashMap<>(other.usageOfTeams);
  }

  RoundUsage copy() {
    return new RoundUsage(this);
  }

  Resources free(Machine machine) {
    MachineUsage used = usedMachines.get(machine);
    return used == null ? machine.free() : used.free();
  }

  /** How many tasks of the job, which is the one being planned, the machine was given. */
  int added(Job job, Machine machine) {
    MachineUsage used = usedMachines.get(machine);
    return used == null || used.lastJob() != job ? 0 : used.addedOfLastJob();
  }

  /** Reserves all that is left of the machine: nothing more goes to it in this round. */
  void reserve(Machine machine) {
    usedMachines.put(machine, new MachineUsage(Resources.NONE, null, 0));
  }

  /** Whether nothing more can go to the machine in this round, reserved or used up. */
  boolean reserved(Machine machine) {
    return usedMachines.containsKey(machine) && usedMachines.get(machine).free().isNone();
  }

  /** Whether the team's limit allows one more task of the job. */
  boolean teamAllows(Job job) {
    Resources used = usageOfTeams.getOrDefault(job.spec.team(), Resources.NONE);
    return job.team.allows(used.plus(job.spec.perTask()));
  }

  /** Whether one more task of the job may go to the zone. */
  boolean zoneAllows(Job job, String zone) {
    Map<String, Integer> planned = plannedInZones.getOrDefault(job, Map.of());
    if (job.spec.oneZone() && !planned.isEmpty() && !planned.containsKey(zone)) {
      return false;
    }
    return cluster.zoneAllowed(job, zone, planned.getOrDefault(zone, 0));
  }

  /** Whether one more task of the job may go to a machine of the type, zone and kind. */
  boolean allows(Job job, MachineType type, String zone, boolean spot) {
    JobSpec spec = job.spec;
    return (!spot || spec.spotAllowed())
        && (spec.types() == null || spec.types().contains(type.name()))
        && zoneAllows(job, zone);
  }

  /** How many tasks of the job were planned for the zone in this round. */
  int planned(Job job, String zone) {
    return plannedInZones.getOrDefault(job, Map.of()).getOrDefault(zone, 0);
  }

  /** Counts a task of the job against the machine, its team and the zone. */
  void take(Job job, Machine machine) {
    Resources free = free(machine).minus(job.spec.perTask());
    usedMachines.put(machine, new MachineUsage(free, job, added(job, machine) + 1));
    count(job, machine.zone);
  }

  /** Counts a task of the job against its team and the zone. */
  void count(Job job, String zone) {
    plannedInZones.computeIfAbsent(job, j -> new HashMap<>()).merge(zone, 1, Integer::sum);
    usageOfTeams.merge(job.spec.team(), job.spec.perTask(), Resources::plus);
  }
}
