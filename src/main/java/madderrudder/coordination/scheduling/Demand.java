package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * The jobs to schedule in a round.
 *
 * @param guaranteed the jobs that are covered by their team's guarantee
 * @param waiting the jobs with waiting tasks, in the order in which they receive capacity
 * @param promptNeedsNonSpot whether some job that must start promptly may not use spot machines
 * @param coverage the share of the cluster from which this leader has received heartbeats
 */
public record Demand(
    Set<Job> guaranteed, List<Job> waiting, boolean promptNeedsNonSpot, ClusterCoverage coverage) {
  /** The assumed deadline of a job that has none, counted from its submission. */
  private static final long DEFAULT_DEADLINE_MICROS = 120_000_000;

  /**
   * A job that has waited this long without a task being placed is starved. It then moves ahead by
   * one step, and by another after each {@link #STARVATION_STEP_MICROS}. Users expect even the
   * largest job to start within four minutes; a job has at most three deadlines, so it is ahead of
   * jobs of equal rank after three minutes.
   */
  private static final long STARVATION_MICROS = 90_000_000;

  private static final long STARVATION_STEP_MICROS = 30_000_000;

  private static final int PRODUCTION_RANK = 0;
  private static final int GUARANTEED_RANK = 1;

  /** The rank of all other jobs; nothing is preempted for them. */
  private static final int LOWEST_RANK = 2;

  /** Returns the demand for a leader that has received heartbeats from all machines. */
  static Demand of(Cluster cluster, long wallMicros) {
    return of(cluster, wallMicros, ClusterCoverage.FULL);
  }

  /**
   * Returns the demand of the cluster's unfinished jobs.
   *
   * @param wallMicros the time of day, in microseconds
   * @param coverage the share of the cluster from which this leader has received heartbeats
   */
  public static Demand of(Cluster cluster, long wallMicros, ClusterCoverage coverage) {
    Set<Job> guaranteed = guaranteed(cluster);
    boolean promptNeedsNonSpot =
        cluster.jobs.values().stream()
            .anyMatch(
                job ->
                    !job.spec.spotAllowed()
                        && cluster.deployment.objectives().hasWaitObjective(job.spec));
    return new Demand(
        guaranteed, waiting(cluster, guaranteed, wallMicros), promptNeedsNonSpot, coverage);
  }

  /** Returns, for each resource, the smallest amount that any waiting task requests. */
  Resources minTaskResources() {
    return waiting.stream()
        .map(job -> job.spec.resourcesPerTask())
        .reduce(Resources::min)
        .orElse(Resources.NONE);
  }

  /**
   * Returns the jobs that fit into their team's guarantee together with all unfinished jobs that
   * the team submitted before them.
   */
  private static Set<Job> guaranteed(Cluster cluster) {
    Map<String, Resources> demandByTeam = new HashMap<>();
    List<Job> oldestFirst = new ArrayList<>(cluster.jobs.values());
    oldestFirst.sort(Comparator.comparingLong(job -> job.acceptedWallMicros));
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : oldestFirst) {
      Resources demandSoFar =
          demandByTeam.merge(
              job.spec.team(),
              job.spec.resourcesPerTask().times(job.remainingTasks()),
              Resources::plus);
      if (job.team.guarantees(demandSoFar)) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }

  /**
   * Orders the waiting jobs: production first, then jobs covered by a guarantee, then by priority.
   * A gang with an objective for a prompt start is ordered as if a guarantee covered it, but
   * preempts nothing on that account: capacity for a gang becomes free rarely, and bulk jobs within
   * guarantees would take each part of it first. A job always precedes the jobs whose tasks may be
   * preempted for it, so that capacity freed by preemption never returns to the preempted job.
   *
   * <p>Jobs of equal rank and priority are ordered by the earliest deadline that each can still
   * meet: under overload, serving jobs that are already late would make all others late in turn.
   * Jobs that can meet no deadline, mostly the largest ones, would then come last for as long as
   * new jobs arrive that can. A starved job therefore moves ahead until its first task is placed.
   * Among the jobs of the lowest rank, which preempt nothing and may be preempted, it also precedes
   * jobs of higher priority.
   */
  private static List<Job> waiting(Cluster cluster, Set<Job> guaranteed, long wallMicros) {
    Map<Job, Deadline> deadlines = new HashMap<>();
    List<Job> waiting = new ArrayList<>();
    for (Job job : cluster.jobs.values()) {
      if (!job.ended && job.nextWaiting(0) >= 0) {
        waiting.add(job);
        deadlines.put(job, deadline(cluster, job, wallMicros));
      }
    }
    ToIntFunction<Job> rank = job -> rank(cluster, guaranteed, job);
    waiting.sort(
        Comparator.comparingInt(rank)
            .thenComparing(
                job -> rank.applyAsInt(job) < LOWEST_RANK || starvationSteps(job, wallMicros) == 0)
            .thenComparing(job -> job.spec.priority())
            .thenComparing(job -> !guaranteed.contains(job))
            .thenComparing(deadlines::get));
    return waiting;
  }

  private static int rank(Cluster cluster, Set<Job> guaranteed, Job job) {
    if (job.spec.priority() == Priority.PRODUCTION) {
      return PRODUCTION_RANK;
    }
    return guaranteed.contains(job) || isPromptGang(cluster, job) ? GUARANTEED_RANK : LOWEST_RANK;
  }

  /** Returns by how many steps a starved job moves ahead; 0 if it is not starved. */
  private static int starvationSteps(Job job, long wallMicros) {
    long starvedForMicros = wallMicros - job.acceptedWallMicros - STARVATION_MICROS;
    if (starvedForMicros < 0 || job.hasBegun()) {
      return 0;
    }
    return 1 + (int) Math.min(starvedForMicros / STARVATION_STEP_MICROS, Integer.MAX_VALUE - 1);
  }

  private static boolean isPromptGang(Cluster cluster, Job job) {
    return job.spec.kind() == JobKind.GANG
        && cluster.deployment.objectives().hasWaitObjective(job.spec);
  }

  /** The earliest deadline that a job can still meet, and how many it misses before that one. */
  private record Deadline(int missed, long wallMicros) implements Comparable<Deadline> {
    @Override
    public int compareTo(Deadline other) {
      int byMissed = Integer.compare(missed, other.missed);
      return byMissed != 0 ? byMissed : Long.compare(wallMicros, other.wallMicros);
    }
  }

  private static Deadline deadline(Cluster cluster, Job job, long nowWallMicros) {
    List<Long> dueOffsets = cluster.deployment.objectives().dueOffsetsMicros(job.spec);
    if (dueOffsets.isEmpty()) {
      return new Deadline(0, job.acceptedWallMicros + DEFAULT_DEADLINE_MICROS);
    }
    long expectedEndMicros = nowWallMicros + cluster.runTimes.expectedMicros(job);
    for (int missed = 0; missed < dueOffsets.size(); missed++) {
      long dueMicros = job.acceptedWallMicros + dueOffsets.get(missed);
      if (expectedEndMicros <= dueMicros) {
        return new Deadline(missed, dueMicros);
      }
    }
    int missed = Math.max(0, dueOffsets.size() - starvationSteps(job, nowWallMicros));
    return new Deadline(missed, job.acceptedWallMicros);
  }
}
