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
 * The tasks that a preemption round stops, what that leaves free, and what may be stopped for whom
 * at what loss.
 */
final class VictimSelection {
  /** The loss of a replica of a service: above all others, so that services are stopped last. */
  private static final double SERVICE_LOSS = 1e9;

  private final PlanningRound round;
  private final Cluster cluster;

  /** What is free once everything that is being stopped, or ends soon by itself, has gone. */
  private final Map<Machine, Resources> freeSoon = new HashMap<>();

  /** What each team uses beside the victims. */
  private final Map<String, Resources> usageOfTeams;

  private final Set<Assignment> victims = new LinkedHashSet<>();

  /** A state to go back to. */
  record Snapshot(
      Map<Machine, Resources> freeSoon,
      Map<String, Resources> usageOfTeams,
      Set<Assignment> victims) {}

  VictimSelection(PlanningRound round) {
    this.round = round;
    cluster = round.cluster();
    usageOfTeams = cluster.usage();
  }

  Set<Assignment> victims() {
    return victims;
  }

  Snapshot snapshot() {
    return new Snapshot(
        new HashMap<>(freeSoon), new HashMap<>(usageOfTeams), new LinkedHashSet<>(victims));
  }

  void restore(Snapshot snapshot) {
    freeSoon.clear();
    freeSoon.putAll(snapshot.freeSoon());
    usageOfTeams.clear();
    usageOfTeams.putAll(snapshot.usageOfTeams());
    victims.clear();
    victims.addAll(snapshot.victims());
  }

  /** Stops the tasks on the machine, and takes what a task of the job uses there. */
  void stopFor(Job job, Machine machine, List<Assignment> stops) {
    Resources free = free(machine);
    for (Assignment victim : stops) {
      victims.add(victim);
      free = free.plus(victim.resources);
      usageOfTeams.merge(victim.team, victim.resources, Resources::minus);
    }
    freeSoon.put(machine, free.minus(job.spec.perTask()));
  }

  /**
   * The stops that let a task of the job fit on the machine at the least loss.
   *
   * @return empty if the task will fit anyway, null if no stops make it fit
   */
  List<Assignment> stopsFor(Job job, Machine machine) {
    Resources free = free(machine);
    if (job.spec.perTask().fits(free)) {
      return List.of();
    }
    List<Assignment> stops = new ArrayList<>();
    for (Assignment candidate : candidates(job, machine)) {
      stops.add(candidate);
      free = free.plus(candidate.resources);
      if (job.spec.perTask().fits(free)) {
        return stops;
      }
    }
    return null;
  }

  private Resources free(Machine machine) {
    return freeSoon.computeIfAbsent(machine, m -> cluster.freeSoon(m, round.nowMicros()));
  }

  /** The tasks on the machine that may be stopped for the job, those of least loss first. */
  private List<Assignment> candidates(Job job, Machine machine) {
    List<Assignment> candidates = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.evicting
          && !assignment.completed
          && assignment.durable
          && !victims.contains(assignment)
          && assignment.job != null
          && assignment.job.spec.kind() != JobKind.GANG
          && mayStop(job, assignment)
          && !cluster.endsSoon(assignment, round.nowMicros())) {
        candidates.add(assignment);
      }
    }
    candidates.sort(Comparator.comparingDouble(this::loss));
    return candidates;
  }

  boolean mayStop(Job job, Assignment victim) {
    boolean guaranteed = round.guaranteed(job);
    if (job.spec.priority().above(victim.job.spec.priority())) {
      return job.spec.priority() == Priority.PRODUCTION || guaranteed;
    }
    Resources usageOfTeam = usageOfTeams.getOrDefault(victim.team, Resources.NONE);
    return guaranteed
        && victim.job.spec.kind() != JobKind.SERVICE
        && !victim.job.team.equals(job.team)
        && !round.guaranteed(victim.job)
        && !victim.job.team.guarantees(usageOfTeam);
  }

  double loss(List<Assignment> stops) {
    double loss = 0;
    for (Assignment stop : stops) {
      loss += loss(stop);
    }
    return loss;
  }

  /** The processor seconds that would have to be done again. */
  private double loss(Assignment assignment) {
    if (assignment.job.spec.kind() == JobKind.SERVICE) {
      return SERVICE_LOSS;
    }
    long ran = RunTimes.ranMicros(assignment, round.nowMicros());
    long checkpointMicros = assignment.job.spec.checkpointIntervalMicros();
    long sinceCheckpoint = checkpointMicros > 0 ? Math.min(ran, checkpointMicros) : ran;
    return (sinceCheckpoint / 1e6 + 1) * assignment.resources.milliCpus() / 1000;
  }
}
