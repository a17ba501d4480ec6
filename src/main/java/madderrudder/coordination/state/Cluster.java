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
 * The leader's view of the cluster: live jobs, machines, and what may be on which machine. Totals
 * are kept up to date with every change. Confined to the event loop thread.
 */
public class Cluster {
  /** About how long it takes until a stop has been sent, done and reported. */
  private static final long SOON_MICROS = 1_000_000;

  /** A time before all others that is safe to add to and subtract from. */
  public static final long LONG_AGO = Long.MIN_VALUE / 4;

  /** The settings of the deployment. */
  public final Deployment deployment;

  /** The run times that planning reckons with. */
  public final RunTimes runTimes;

  /** The live jobs by id, in the order in which this leader learned of them. */
  public final Map<String, Job> jobs = new LinkedHashMap<>();

  /** The machines by id. Changed with {@link #add} and {@link #remove}. */
  public final Map<String, Machine> machines = new LinkedHashMap<>();

  /** The machine types by name, as the cloud describes them; empty until known. */
  public Map<String, MachineType> types = Map.of();

  // Updated with every change: computed on demand they would cost more with each task and
  // machine there is.
  private final Set<Machine> owned = new LinkedHashSet<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<TaskId, Integer> orphanCounts = new HashMap<>();

  /**
   * Tasks of cancelled jobs that may still be on a machine, each with a time before its user was
   * told of the cancellation; oldest first.
   */
  private final Map<Assignment, Long> cancelledAssignments = new LinkedHashMap<>();

  /** Makes a cluster without jobs and machines. */
  public Cluster(Deployment deployment, RunTimes runTimes) {
    this.deployment = deployment;
    this.runTimes = runTimes;
  }

  /** Adds a machine. */
  public void add(Machine machine) {
    machines.put(machine.id, machine);
    if (machine.owned) {
      owned.add(machine);
    }
  }

  /** Removes an empty machine. */
  public void remove(Machine machine) {
    machines.remove(machine.id);
    owned.remove(machine);
  }

  /**
   * Records that a task may be on a machine from now on: it counts against the machine, the team,
   * the job and the zone.
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
   * Records that the task is certainly not there any more.
   *
   * @return false if it was not counted in the first place
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
      returnUsage(assignment.machine, assignment.team, assignment.resources);
    }
    return true;
  }

  /** Records that the task has completed and uses nothing from now on. */
  public void complete(Assignment assignment) {
    if (!assignment.completed) {
      assignment.completed = true;
      cancelledAssignments.remove(assignment);
      returnUsage(assignment.machine, assignment.team, assignment.resources);
    }
  }

  /**
   * Records that the task's job was cancelled and that its user was told after the given time; the
   * task may still be there.
   */
  public void markCancelled(Assignment assignment, long beforeMicros) {
    cancelledAssignments.putIfAbsent(assignment, beforeMicros);
  }

  /**
   * The time before which all cancellations have taken effect: no job whose user was told of its
   * cancellation before it has a task anywhere. A task that no record names may be of any job, so
   * that nothing is settled while there is one.
   *
   * @param knownMicros up to when cancellations are known at all
   */
  public long cancellationsSettledMicros(long knownMicros) {
    if (!orphanCounts.isEmpty()) {
      return LONG_AGO;
    }
    return cancelledAssignments.isEmpty()
        ? knownMicros
        : Math.min(knownMicros, cancelledAssignments.values().iterator().next());
  }

  /** Replaces the tasks that the worker reports and that no record names on the machine. */
  public void replaceOrphanTasks(Machine machine, List<OrphanTask> reported) {
    for (OrphanTask orphan : machine.orphanTasks) {
      returnUsage(machine, orphan.team(), orphan.resources());
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
    usage.merge(team, resources, Resources::plus);
  }

  private void returnUsage(Machine machine, String team, Resources resources) {
    machine.used = machine.used.minus(resources);
    usage.merge(team, resources, Resources::minus);
  }

  /**
   * What the machine has left once all that is being stopped has gone, and all that is nearly
   * certain to end as soon by itself: stopping that would lose its work for nothing.
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

  /** Whether the task is nearly certain to end by itself as soon as a stop would take effect. */
  public boolean endsSoon(Assignment assignment, long nowMicros) {
    return !assignment.evicting
        && !assignment.completed
        && assignment.job != null
        && runTimes.endsWithin(assignment, nowMicros, SOON_MICROS);
  }

  /** What each team may be using, on unreachable machines too. A copy. */
  public Map<String, Resources> usage() {
    return new HashMap<>(usage);
  }

  /** Whether the worker of some machine reports the task though no record names it there. */
  public boolean hasOrphan(String job, int task) {
    return !orphanCounts.isEmpty() && orphanCounts.containsKey(new TaskId(job, task));
  }

  /**
   * Whether some class of jobs wants to start sooner than any machine boots, so that scaling out
   * comes too late for it.
   */
  public boolean scaleOutTooSlow() {
    long fastestBoot = types.values().stream().mapToLong(MachineType::bootMicros).min().orElse(0);
    return deployment.objectives().shortestWaitMicros() < fastestBoot;
  }

  /** Whether some owned machine could take a task of the job if it were empty. */
  public boolean ownedCouldFit(Job job, long nowMicros) {
    for (Machine machine : owned) {
      if (!machine.leaseExpired
          && !machine.failed
          && !machine.cordoned(nowMicros)
          && allowed(job, machine)
          && job.spec.perTask().fits(machine.type.capacity())) {
        return true;
      }
    }
    return false;
  }

  /** Whether the machines could take all waiting tasks of the gang if they were empty. */
  public boolean couldFitGang(Job gang, Iterable<Machine> machines) {
    long missing = gang.waitingCount();
    for (Machine machine : machines) {
      if (missing <= 0) {
        break;
      }
      if (allowed(gang, machine)) {
        missing -= gang.spec.perTask().timesIn(machine.type.capacity());
      }
    }
    return missing <= 0;
  }

  /** Whether the machine's type, zone and kind suit the job, given where its other tasks may be. */
  public boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    return (!machine.spot || spec.spotAllowed())
        && (spec.types() == null || spec.types().contains(machine.type.name()))
        && zoneAllowed(job, machine.zone, 0);
  }

  /**
   * Whether a task of the job may go to the zone.
   *
   * @param planned how many further tasks of the job are already planned for the zone
   */
  public boolean zoneAllowed(Job job, String zone, int planned) {
    JobSpec spec = job.spec;
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.spread() && job.assignmentsInZone(zone) + planned >= spec.mostPerZone()) {
      return false;
    }
    if (spec.oneZone()) {
      return job.onlyIn(zone);
    }
    return true;
  }
}
