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
 * The capacity that a planning round has allocated so far, in addition to what the cluster state
 * counts as used. The cluster state itself is not changed.
 */
final class RoundUsage {
  private final Cluster cluster;
  private final Map<Machine, MachineUsage> usageByMachine = new HashMap<>();
  private final Map<Job, Map<String, Integer>> plannedByZone = new HashMap<>();
  private final Map<String, Resources> usageByTeam;

  /** The free capacity of a machine, and how many tasks the last job added to it in this round. */
  private record MachineUsage(Resources free, Job lastJob, int addedTasksOfLastJob) {}

  RoundUsage(Cluster cluster) {
    this.cluster = cluster;
    usageByTeam = cluster.usage();
  }

  private RoundUsage(RoundUsage other) {
    cluster = other.cluster;
    usageByMachine.putAll(other.usageByMachine);
    other.plannedByZone.forEach((job, counts) -> plannedByZone.put(job, new HashMap<>(counts)));
    usageByTeam = new HashMap<>(other.usageByTeam);
  }

  /** Returns an independent copy, so that a planner can undo a partial allocation. */
  RoundUsage copy() {
    return new RoundUsage(this);
  }

  /** Returns what is free on the machine after the allocations of this round. */
  Resources free(Machine machine) {
    MachineUsage used = usageByMachine.get(machine);
    return used == null ? machine.free() : used.free();
  }

  /**
   * Returns how many tasks of the job were added to the machine in this round. The count is kept
   * for the last job only, so the job must be the one that is being planned.
   */
  int addedTasks(Job job, Machine machine) {
    MachineUsage used = usageByMachine.get(machine);
    return used == null || used.lastJob() != job ? 0 : used.addedTasksOfLastJob();
  }

  /**
   * Reserves all free capacity of the machine, so that no further task is placed there this round.
   */
  void reserve(Machine machine) {
    usageByMachine.put(machine, new MachineUsage(Resources.NONE, null, 0));
  }

  /** Whether this round has left no capacity on the machine, by reservation or by placements. */
  boolean reserved(Machine machine) {
    return usageByMachine.containsKey(machine) && usageByMachine.get(machine).free().isNone();
  }

  /** Whether one more task of the job stays within the limit of its team. */
  boolean teamAllows(Job job) {
    Resources used = usageByTeam.getOrDefault(job.spec.team(), Resources.NONE);
    return job.team.allows(used.plus(job.spec.resourcesPerTask()));
  }

  /** Whether one more task of the job may be placed in the zone. */
  boolean zoneAllows(Job job, String zone) {
    Map<String, Integer> planned = plannedByZone.getOrDefault(job, Map.of());
    if (job.spec.oneZone() && !planned.isEmpty() && !planned.containsKey(zone)) {
      return false;
    }
    return cluster.zoneAllowed(job, zone, planned.getOrDefault(zone, 0));
  }

  /**
   * Whether the job allows one more of its tasks on a machine of the type in the zone.
   *
   * @param spot whether the machine is a spot machine
   */
  boolean allows(Job job, MachineType type, String zone, boolean spot) {
    JobSpec spec = job.spec;
    return (!spot || spec.spotAllowed())
        && (spec.machineTypes() == null || spec.machineTypes().contains(type.name()))
        && zoneAllows(job, zone);
  }

  /** Returns how many tasks of the job were planned for the zone in this round. */
  int plannedInZone(Job job, String zone) {
    return plannedByZone.getOrDefault(job, Map.of()).getOrDefault(zone, 0);
  }

  /** Counts a task of the job against the machine, its team and the zone. */
  void addTask(Job job, Machine machine) {
    Resources free = free(machine).minus(job.spec.resourcesPerTask());
    usageByMachine.put(machine, new MachineUsage(free, job, addedTasks(job, machine) + 1));
    addTaskInZone(job, machine.zone);
  }

  /** Counts a task of the job against its team and the zone. */
  void addTaskInZone(Job job, String zone) {
    plannedByZone.computeIfAbsent(job, j -> new HashMap<>()).merge(zone, 1, Integer::sum);
    usageByTeam.merge(job.spec.team(), job.spec.resourcesPerTask(), Resources::plus);
  }
}
