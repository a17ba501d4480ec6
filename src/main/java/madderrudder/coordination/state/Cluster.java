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

/** The leader's picture: live jobs, machines, and what may be where. */
public class Cluster {
  /** About what it takes until a stop has been told, done and reported. */
  private static final long SOON_MICROS = 1_000_000;

  public static final long LONG_AGO = Long.MIN_VALUE / 4;

  public final Deployment deployment;
  public final RunTimes runTimes;
  public final Map<String, Job> jobs = new LinkedHashMap<>();
  public final Map<String, Machine> machines = new LinkedHashMap<>();
  public Map<String, MachineType> types = Map.of();
  // Kept up to date with every change: made anew, they would cost more with each task and machine
  // there is.
  private final Set<Machine> owned = new LinkedHashSet<>();
  private final Map<String, Resources> usage = new HashMap<>();
  private final Map<TaskId, Integer> orphaned = new HashMap<>();

  /**
   * Tasks of cancelled jobs that may still be somewhere, and a moment before their users were told;
   * oldest first.
   */
  private final Map<Assignment, Long> cancelledAssignments = new LinkedHashMap<>();

  public Cluster(Deployment deployment, RunTimes runTimes) {
    this.deployment = deployment;
    this.runTimes = runTimes;
  }

  /** Puts a machine into the picture. */
  public void add(Machine machine) {
    machines.put(machine.id, machine);
    if (machine.owned) {
      owned.add(machine);
    }
  }

  /** Takes an empty machine out of the picture. */
  public void remove(Machine machine) {
    machines.remove(machine.id);
    owned.remove(machine);
  }

  /**
   * A task may be on a machine from now on: it counts against the machine, the team, the job and
   * the zone.
   */
  public void hold(Assignment assignment) {
    assignment.machine.assignments.put(assignment.key(), assignment);
    if (assignment.job != null) {
      assignment.job.hold(assignment);
    }
    if (!assignment.completed) {
      take(assignment.machine, assignment.team, assignment.resources);
    }
  }

  /** The task is surely not there any more; false if it was not counted in the first place. */
  public boolean release(Assignment assignment, long nowMicros) {
    if (assignment.machine.assignments.remove(assignment.key()) == null) {
      return false;
    }
    cancelledAssignments.remove(assignment);
    if (assignment.job != null) {
      assignment.job.release(assignment, nowMicros);
    }
    if (!assignment.completed) {
      giveBack(assignment.machine, assignment.team, assignment.resources);
    }
    return true;
  }

  /** The task has completed, and uses nothing from now on. */
  public void complete(Assignment assignment) {
    if (!assignment.completed) {
      assignment.completed = true;
      cancelledAssignments.remove(assignment);
      giveBack(assignment.machine, assignment.team, assignment.resources);
    }
  }

  /** The task's job was cancelled, its user told after the moment; the task may still be there. */
  public void markCancelled(Assignment assignment, long beforeMicros) {
    cancelledAssignments.putIfAbsent(assignment, beforeMicros);
  }

  /**
   * Every job whose user was told of its cancellation before this moment has surely no task
   * anywhere, given up to when cancellations are known at all. A task that no record names may be
   * of any job.
   */
  public long settledMicros(long knownMicros) {
    if (!orphaned.isEmpty()) {
      return LONG_AGO;
    }
    return cancelledAssignments.isEmpty()
        ? knownMicros
        : Math.min(knownMicros, cancelledAssignments.values().iterator().next());
  }

  /** The worker says that it has these tasks, which no record names there. */
  public void orphanTasks(Machine machine, List<Machine.OrphanTask> found) {
    for (Machine.OrphanTask stray : machine.orphanTasks) {
      giveBack(machine, stray.team(), stray.takes());
      orphaned.computeIfPresent(stray.key().task(), (task, count) -> count == 1 ? null : count - 1);
    }
    machine.orphanTasks = found;
    for (Machine.OrphanTask stray : found) {
      take(machine, stray.team(), stray.takes());
      orphaned.merge(stray.key().task(), 1, Integer::sum);
    }
  }

  private void take(Machine machine, String team, Resources takes) {
    machine.used = machine.used.plus(takes);
    usage.merge(team, takes, Resources::plus);
  }

  private void giveBack(Machine machine, String team, Resources takes) {
    machine.used = machine.used.minus(takes);
    usage.merge(team, takes, Resources::minus);
  }

  /**
   * What the machine has left once all that is being stopped has gone, and what is nearly sure to
   * end as soon by itself: stopping that would lose all it has done for nothing.
   */
  public Resources freeSoon(Machine machine, long nowMicros) {
    Resources free = machine.freeSoon();
    for (Assignment assignment : machine.assignments.values()) {
      if (endsSoon(assignment, nowMicros)) {
        free = free.plus(assignment.resources);
      }
    }
    return free;
  }

  public boolean endsSoon(Assignment assignment, long nowMicros) {
    return !assignment.evicting
        && !assignment.completed
        && assignment.job != null
        && runTimes.endsWithin(assignment, nowMicros, SOON_MICROS);
  }

  /** What each team may be using, machines that can't be reached included. A copy. */
  public Map<String, Resources> usage() {
    return new HashMap<>(usage);
  }

  /** Whether the worker of some machine says it has the task though no record names it there. */
  public boolean orphaned(String job, int task) {
    return !orphaned.isEmpty() && orphaned.containsKey(new TaskId(job, task));
  }

  /** A start is wanted sooner than any machine boots, so that renting comes too late for it. */
  public boolean rentingTooSlow() {
    long fastestBoot = types.values().stream().mapToLong(MachineType::bootMicros).min().orElse(0);
    return deployment.objectives().shortestWaitMicros() < fastestBoot;
  }

  /** Some owned machine that is there could take a task of the job, if it were empty. */
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

  /** Whether the machines, if they were empty, had room for all tasks of the gang that wait. */
  public boolean couldHold(Job gang, Iterable<Machine> machines) {
    long lacking = gang.waitingCount();
    for (Machine machine : machines) {
      if (lacking <= 0) {
        break;
      }
      if (allowed(gang, machine)) {
        lacking -= gang.spec.perTask().timesIn(machine.type.capacity());
      }
    }
    return lacking <= 0;
  }

  /** Type, zone and kind suit the job, given where its other tasks may be. */
  public boolean allowed(Job job, Machine machine) {
    JobSpec spec = job.spec;
    return (!machine.spot || spec.spotAllowed())
        && (spec.types() == null || spec.types().contains(machine.type.name()))
        && zoneAllowed(job, machine.zone, 0);
  }

  /** {@code planned} further tasks of the job are meant for the zone. */
  public boolean zoneAllowed(Job job, String zone, int planned) {
    JobSpec spec = job.spec;
    if (spec.zone() != null && !spec.zone().equals(zone)) {
      return false;
    }
    if (spec.spread() && job.inZone(zone) + planned >= spec.mostPerZone()) {
      return false;
    }
    if (spec.oneZone()) {
      return job.onlyIn(zone);
    }
    return true;
  }
}
