package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.RunTimes;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * The tasks selected for preemption in a round, and the capacity that becomes free by it. Also
 * decides which tasks may be preempted for a job, and how much work each preemption loses.
 */
final class VictimSelection {
  /** Exceeds the loss of any other task, so that replicas of services are selected last. */
  private static final double SERVICE_REPLICA_LOSS_CPU_S = 1e9;

  private final PlanningRound round;
  private final Cluster cluster;

  /** The free capacity once all tasks that are being stopped, or that end soon, have ended. */
  private final Map<Machine, Resources> freeSoonByMachine = new HashMap<>();

  /** The usage of each team without the victims. */
  private final Map<String, Resources> usageByTeam;

  private final Set<Assignment> victims = new LinkedHashSet<>();

  /** A saved state for {@link #restore}. */
  record Snapshot(
      Map<Machine, Resources> freeSoonByMachine,
      Map<String, Resources> usageByTeam,
      Set<Assignment> victims) {}

  VictimSelection(PlanningRound round) {
    this.round = round;
    cluster = round.cluster();
    usageByTeam = cluster.usage();
  }

  /** Returns the tasks to preempt, in the order of selection. */
  Set<Assignment> victims() {
    return victims;
  }

  /** Returns a copy of the current state. */
  Snapshot snapshot() {
    return new Snapshot(
        new HashMap<>(freeSoonByMachine), new HashMap<>(usageByTeam), new LinkedHashSet<>(victims));
  }

  /** Discards all selections made since the snapshot. */
  void restore(Snapshot snapshot) {
    freeSoonByMachine.clear();
    freeSoonByMachine.putAll(snapshot.freeSoonByMachine());
    usageByTeam.clear();
    usageByTeam.putAll(snapshot.usageByTeam());
    victims.clear();
    victims.addAll(snapshot.victims());
  }

  /** Selects the tasks on the machine as victims, and allocates one task of the job there. */
  void selectVictims(Job job, Machine machine, List<Assignment> selected) {
    Resources free = free(machine);
    for (Assignment victim : selected) {
      victims.add(victim);
      free = free.plus(victim.resources);
      usageByTeam.merge(victim.team, victim.resources, Resources::minus);
    }
    freeSoonByMachine.put(machine, free.minus(job.spec.resourcesPerTask()));
  }

  /**
   * Returns the tasks to preempt so that a task of the job fits on the machine, those of least loss
   * first.
   *
   * @return empty if the task fits without preemption, null if no preemption makes it fit
   */
  List<Assignment> victimsFor(Job job, Machine machine) {
    Resources free = free(machine);
    if (job.spec.resourcesPerTask().fits(free)) {
      return List.of();
    }
    List<Assignment> selected = new ArrayList<>();
    for (Assignment candidate : candidates(job, machine)) {
      selected.add(candidate);
      free = free.plus(candidate.resources);
      if (job.spec.resourcesPerTask().fits(free)) {
        return selected;
      }
    }
    return null;
  }

  private Resources free(Machine machine) {
    return freeSoonByMachine.computeIfAbsent(machine, m -> cluster.freeSoon(m, round.nowMicros()));
  }

  /** Returns the tasks on the machine that may be preempted for the job, least loss first. */
  private List<Assignment> candidates(Job job, Machine machine) {
    List<Assignment> candidates = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.evicting
          && !assignment.completed
          && assignment.durable
          && !victims.contains(assignment)
          && assignment.job != null
          && assignment.job.spec.kind() != JobKind.GANG
          && mayPreempt(job, assignment)
          && !cluster.endsSoon(assignment, round.nowMicros())) {
        candidates.add(assignment);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }

  /**
   * Whether the task may be preempted for the job. Production, and jobs covered by a guarantee, may
   * preempt tasks of lower priority. A job covered by a guarantee may also preempt a task of any
   * priority if the task's team is another one and exceeds its guarantee, and if the task's job is
   * neither a service nor covered by that guarantee.
   */
  boolean mayPreempt(Job job, Assignment victim) {
    boolean guaranteed = round.guaranteed(job);
    if (job.spec.priority().isHigherThan(victim.job.spec.priority())) {
      return job.spec.priority() == Priority.PRODUCTION || guaranteed;
    }
    Resources usageOfTeam = usageByTeam.getOrDefault(victim.team, Resources.NONE);
    return guaranteed
        && victim.job.spec.kind() != JobKind.SERVICE
        && !victim.job.team.equals(job.team)
        && !round.guaranteed(victim.job)
        && !victim.job.team.guarantees(usageOfTeam);
  }

  /** Returns the total loss of preempting the tasks, in processor seconds. */
  double loss(List<Assignment> assignments) {
    double loss = 0;
    for (Assignment assignment : assignments) {
      loss += loss(assignment);
    }
    return loss;
  }

  /** Returns the processor seconds of work that would have to be repeated. */
  private double loss(Assignment assignment) {
    if (assignment.job.spec.kind() == JobKind.SERVICE) {
      return SERVICE_REPLICA_LOSS_CPU_S;
    }
    long ranMicros = RunTimes.ranMicros(assignment, round.nowMicros());
    long checkpointIntervalMicros = assignment.job.spec.checkpointIntervalMicros();
    long sinceCheckpointMicros =
        checkpointIntervalMicros > 0 ? Math.min(ranMicros, checkpointIntervalMicros) : ranMicros;
    return (sinceCheckpointMicros / 1e6 + 1)
        * assignment.resources.nanoCpus()
        / Resources.NANOS_PER_UNIT;
  }
}
