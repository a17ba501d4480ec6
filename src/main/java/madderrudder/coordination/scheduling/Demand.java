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
 * What is to be scheduled in a round.
 *
 * @param guaranteed the jobs that lie within their team's guarantee
 * @param waiting the jobs with waiting tasks, in the order in which they are to get capacity
 * @param promptNeedsSteady whether some work that must start promptly may not use spot instances
 * @param coverage how much of the cluster this leader has heard from
 */
public record Demand(
    Set<Job> guaranteed, List<Job> waiting, boolean promptNeedsSteady, ClusterCoverage coverage) {
  /** When a job without a deadline counts as due. */
  private static final long NO_DEADLINE_MICROS = 120_000_000;

  /**
   * A job of which nothing has begun for so long is starved, and moves ahead by a step each {@link
   * #STEP_MICROS}. The users want even the largest to begin within four minutes; with three
   * deadlines at the most it is ahead of its equals after three minutes.
   */
  private static final long STARVED_MICROS = 90_000_000;

  private static final long STEP_MICROS = 30_000_000;

  private static final int PRODUCTION_RANK = 0;
  private static final int GUARANTEED_RANK = 1;

  /** The rank of jobs for which nothing is preempted. */
  private static final int LAST_RANK = 2;

  /** The demand as seen by a leader that has heard all machines. */
  static Demand of(Cluster cluster, long wallMicros) {
    return of(cluster, wallMicros, ClusterCoverage.FULL);
  }

  /**
   * The demand of the cluster's jobs.
   *
   * @param coverage how much of the cluster this leader has heard from
   */
  public static Demand of(Cluster cluster, long wallMicros, ClusterCoverage coverage) {
    Set<Job> guaranteed = guaranteed(cluster);
    boolean needsSteady =
        cluster.jobs.values().stream()
            .anyMatch(
                job ->
                    !job.spec.spotAllowed()
                        && cluster.deployment.objectives().wantsPromptStart(job.spec));
    return new Demand(guaranteed, waiting(cluster, guaranteed, wallMicros), needsSteady, coverage);
  }

  /** The least of each resource that any waiting task needs. */
  Resources leastPerTask() {
    return waiting.stream()
        .map(job -> job.spec.perTask())
        .reduce(Resources::least)
        .orElse(Resources.NONE);
  }

  /** The jobs that fit into their team's guarantee with the team's earlier unfinished jobs. */
  private static Set<Job> guaranteed(Cluster cluster) {
    Map<String, Resources> demand = new HashMap<>();
    List<Job> byAge = new ArrayList<>(cluster.jobs.values());
    byAge.sort(Comparator.comparingLong(job -> job.acceptedWallMicros));
    Set<Job> guaranteed = new HashSet<>();
    for (Job job : byAge) {
      Resources total =
          demand.merge(
              job.spec.team(), job.spec.perTask().times(job.remainingTasks()), Resources::plus);
      if (job.team.guarantees(total)) {
        guaranteed.add(job);
      }
    }
    return guaranteed;
  }

  /**
   * Orders the waiting jobs: production, then what lies within a guarantee, then by priority. A
   * gang that is wanted promptly counts as if it lay within one for the order, not for preemption:
   * capacity for a gang comes free rarely, and bulk work within guarantees would take each piece of
   * it first. What may be stopped for a job always comes after it here, so that capacity freed by
   * preemption never goes back to what was stopped.
   *
   * <p>Among equals the one due first, as long as it can still be in time: with too much to do,
   * working on what is late already would make everything late in turn. Jobs that cannot be in
   * time, the largest above all, once came last for as long as others came that could: a starved
   * job moves ahead until it has begun. Among the jobs within no guarantee, which stop nothing and
   * may be stopped, it then comes before higher priorities too.
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
                job -> rank.applyAsInt(job) < LAST_RANK || starvedSteps(job, wallMicros) == 0)
            .thenComparing(job -> job.spec.priority())
            .thenComparing(job -> !guaranteed.contains(job))
            .thenComparing(deadlines::get));
    return waiting;
  }

  private static int rank(Cluster cluster, Set<Job> guaranteed, Job job) {
    if (job.spec.priority() == Priority.PRODUCTION) {
      return PRODUCTION_RANK;
    }
    return guaranteed.contains(job) || promptGang(cluster, job) ? GUARANTEED_RANK : LAST_RANK;
  }

  /** By how many steps a starved job moves ahead; 0 if it is not starved. */
  private static int starvedSteps(Job job, long wallMicros) {
    long starvedMicros = wallMicros - job.acceptedWallMicros - STARVED_MICROS;
    if (starvedMicros < 0 || job.hasBegun()) {
      return 0;
    }
    return 1 + (int) Math.min(starvedMicros / STEP_MICROS, Integer.MAX_VALUE - 1);
  }

  private static boolean promptGang(Cluster cluster, Job job) {
    return job.spec.kind() == JobKind.GANG
        && cluster.deployment.objectives().wantsPromptStart(job.spec);
  }

  /** The soonest deadline that can still be met, and how many are missed already. */
  private record Deadline(int missed, long wallMicros) implements Comparable<Deadline> {
    @Override
    public int compareTo(Deadline other) {
      int byMissed = Integer.compare(missed, other.missed);
      return byMissed != 0 ? byMissed : Long.compare(wallMicros, other.wallMicros);
    }
  }

  private static Deadline deadline(Cluster cluster, Job job, long nowWallMicros) {
    List<Long> dues = cluster.deployment.objectives().dueMicros(job.spec);
    if (dues.isEmpty()) {
      return new Deadline(0, job.acceptedWallMicros + NO_DEADLINE_MICROS);
    }
    long endMicros = nowWallMicros + cluster.runTimes.expectedMicros(job);
    for (int missed = 0; missed < dues.size(); missed++) {
      long dueMicros = job.acceptedWallMicros + dues.get(missed);
      if (endMicros <= dueMicros) {
        return new Deadline(missed, dueMicros);
      }
    }
    int missed = Math.max(0, dues.size() - starvedSteps(job, nowWallMicros));
    return new Deadline(missed, job.acceptedWallMicros);
  }
}
