package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * The leader's view of the cluster: live jobs, machines, and which tasks may be on which machine.
 * It updates its totals with every change. Confined to the event loop thread.
 */
public class Cluster {
  /** About how long it takes to send a stop, to execute it and to report the result. */
  private static final long STOP_LATENCY_MICROS = 1_000_000;

  /** A time before any other, from which sums and differences of times do not overflow. */
  public static final long LONG_AGO = Long.MIN_VALUE / 4;

  /** The settings of the deployment. */
  public final Deployment deployment;

  /** Predicts the run times of tasks for planning. */
  public final RunTimes runTimes;

  /** The live jobs by id, in the order in which this leader learned of them. */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  /** The machines by id. Changed with {@link #add} and {@link #remove}. */
  public final Map<String, Machine> machines = new LinkedHashMap<>();

  /** How long waiting gangs have needed the free capacity of machines. */
  public final GangReservations gangReservations = new GangReservations();

  /** The cloud's machine types by name; empty until known. */
  public Map<String, MachineType> types = Map.of();

  // These totals are updated with every change, because computing them on demand takes time in
  // proportion to the number of machines and tasks.
  private final Set<Machine> ownedMachines = new LinkedHashSet<>();
  private final Map<String, Resources> usageByTeam = new HashMap<>();
  private final Map<TaskId, Integer> orphanCounts = new HashMap<>();

  /**
   * Tasks of cancelled jobs that may still be on a machine, oldest first. The value is a time
   * before the user received the confirmation of the cancellation.
   */
  private final Map<Assignment, Long> cancelledAssignments = new LinkedHashMap<>();

  /** Creates a cluster without jobs and machines. */
  public Cluster(Deployment deployment, RunTimes runTimes) {
    this.deployment = deployment;
    this.runTimes = runTimes;
  }

  /** Adds a machine. */
  public void add(Machine machine) {
    machines.put(machine.id, machine);
    if (machine.owned) {
      ownedMachines.add(machine);
    }
  }

  /** Removes an empty machine. */
  public void remove(Machine machine) {
    machines.remove(machine.id);
    ownedMachines.remove(machine);
  }

  /**
   * Records that a task may be on a machine from now on, and counts it against the machine, the
   * team, the job and the zone.
   */
  public void addAssignment(Assignment assignment) {
    assignment.machine.assignments.put(assignment.key(), assignment);
    if (assignment.job != null) {
      assignment.job.addAssignment(assignment);
    }
    if (!assignment.completed) {
      addUsage(assignment.machine, assignment.team, assignment.resources);
    }
  }

  /**
   * Records that the task is certainly no longer on its machine.
   *
   * @return false if the assignment was not in the cluster
   */
  public boolean release(Assignment assignment, long nowMicros) {
    if (assignment.machine.assignments.remove(assignment.key()) == null) {
      return false;
    }
    cancelledAssignments.remove(assignment);
    if (assignment.job != null) {
      assignment.job.removeAssignment(assignment, nowMicros);
    }
    if (!assignment.completed) {
      subtractUsage(assignment.machine, assignment.team, assignment.resources);
    }
    return true;
  }

  /** Records that the task has completed and uses no resources from now on. */
  public void recordCompletion(Assignment assignment) {
    if (!assignment.completed) {
      assignment.completed = true;
      cancelledAssignments.remove(assignment);
      subtractUsage(assignment.machine, assignment.team, assignment.resources);
    }
  }

  /**
   * Records that the task's job was cancelled while the task may still be on its machine.
   *
   * @param beforeMicros a time before the user received the confirmation of the cancellation
   */
  public void markCancelled(Assignment assignment, long beforeMicros) {
    cancelledAssignments.putIfAbsent(assignment, beforeMicros);
  }

  /**
   * Returns the time before which all cancellations have taken effect: no job whose cancellation
   * was confirmed before it has a task on any machine. An orphan task may belong to any job, so
   * while there is one the result is {@link #LONG_AGO}.
   *
   * @param knownMicros the time up to which all cancellations are known
   */
  public long cancellationsSettledMicros(long knownMicros) {
    if (!orphanCounts.isEmpty()) {
      return LONG_AGO;
    }
    return cancelledAssignments.isEmpty()
        ? knownMicros
        : Math.min(knownMicros, cancelledAssignments.values().iterator().next());
  }

  /** Replaces the machine's orphan tasks: those that its worker reports without a record. */
  public void replaceOrphanTasks(Machine machine, List<OrphanTask> reported) {
    for (OrphanTask orphan : machine.orphanTasks) {
      subtractUsage(machine, orphan.team(), orphan.resources());
      orphanCounts.computeIfPresent(
          orphan.key().task(), (task, count) -> count == 1 ? null : count - 1);
    }
    machine.orphanTasks = reported;
    for (OrphanTask orphan : reported) {
      addUsage(machine, orphan.team(), orphan.resources());
      orphanCounts.merge(orphan.key().task(), 1, Integer::sum);
    }
  }

  private void addUsage(Machine machine, String team, Resources resources) {
    machine.used = machine.used.plus(resources);
    usageByTeam.merge(team, resources, Resources::plus);
  }

  private void subtractUsage(Machine machine, String team, Resources resources) {
    machine.used = machine.used.minus(resources);
    usageByTeam.merge(team, resources, Resources::minus);
  }

  /**
   * The resources that are free on the machine once all tasks being stopped have gone, and all
   * tasks that are nearly certain to end by themselves as soon. Stopping the latter would only lose
   * their work.
   */
  public Resources freeSoon(Machine machine, long nowMicros) {
    Resources free = machine.freeOnceEvicted();
    for (Assignment assignment : machine.assignments.values()) {
      if (endsSoon(assignment, nowMicros)) {
        free = free.plus(assignment.resources);
      }
    }
    return free;
  }

  /** Whether the task is nearly certain to end by itself before a stop would take effect. */
  public boolean endsSoon(Assignment assignment, long nowMicros) {
    return !assignment.evicting
        && !assignment.completed
        && assignment.job != null
        && runTimes.endsWithin(assignment, nowMicros, STOP_LATENCY_MICROS);
  }

  /** Returns a copy of the resources that each team may use, including unreachable machines. */
  public Map<String, Resources> usage() {
    return new HashMap<>(usageByTeam);
  }

  /** Whether the task is an orphan on some machine. */
  public boolean hasOrphan(String job, int task) {
    return !orphanCounts.isEmpty() && orphanCounts.containsKey(new TaskId(job, task));
  }

  /**
   * Whether the objective of some class of jobs is a start sooner than any machine can boot, so
   * that scaling out is too slow for it.
   */
  public boolean scaleOutTooSlow() {
    long fastestBoot = types.values().stream().mapToLong(MachineType::bootMicros).min().orElse(0);
    return deployment.objectives().shortestWaitMicros() < fastestBoot;
  }

  /**
   * Whether a task of the job would fit on some owned machine if that were empty. Machines that
   * failed, are cordoned or lost their lease do not count.
   */
  public boolean ownedCouldFit(Job job, long nowMicros) {
    for (Machine machine : ownedMachines) {
      if (!machine.leaseExpired
          && !machine.failed
          && !machine.cordoned(nowMicros)
          && allowed(job, machine)
          && job.spec.resourcesPerTask().fits(machine.type.capacity())) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether all waiting tasks of the gang would fit on the machines.
   *
   * @param capacities the resources of each machine that the gang might get
   */
  public boolean couldFitGang(Job gang, Map<Machine, Resources> capacities) {
    long missing = gang.waitingCount();
    for (Map.Entry<Machine, Resources> entry : capacities.entrySet()) {
      if (missing <= 0) {
        break;
      }
      if (allowed(gang, entry.getKey())) {
        missing -= gang.spec.resourcesPerTask().timesIn(entry.getValue());
      }
    }
    return missing <= 0;
  }

  /**
   * Whether the job's constraints allow the machine: its type, its zone, given where other tasks of
   * the job may be, and whether it is a spot machine.
   */
  public boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    return (!machine.spot || spec.spotAllowed())
        && (spec.machineTypes() == null || spec.machineTypes().contains(machine.type.name()))
        && zoneAllowed(job, machine.zone, 0);
  }

  /**
   * Whether a task of the job may be placed in the zone.
   *
   * @param planned how many further tasks of the job are already planned for the zone
   */
  public boolean zoneAllowed(Job job, String zone, int planned) {
    JobSpec spec = job.spec;
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.spread() && job.assignmentsInZone(zone) + planned >= spec.maxTasksPerZone()) {
      return false;
    }
    if (spec.oneZone()) {
      return job.onlyIn(zone);
    }
    return true;
  }
}
