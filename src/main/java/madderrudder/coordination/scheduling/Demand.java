package madderrudder.coordination.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;
import madderrudder.coordination.reconciliation.Confidence;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Which jobs lie within a guarantee, and which wait for room, in the order in which they shall get
 * it; whether some work that must start promptly may not use cheap machines; and how good the
 * picture is that this is read from.
 */
public record Demand(
    Set<Job> guaranteed, List<Job> waiting, boolean promptNeedsSteady, Confidence confidence) {
  private static final long NO_DEADLINE_MICROS = 120_000_000;

  /**
   * A job of which nothing has begun for so long is overlooked, and moves ahead by a step each so
   * often. The users want even the largest to begin within four minutes; with three times due at
   * the most it is ahead of its equals after three.
   */
  private static final long OVERLOOKED_MICROS = 90_000_000;

  private static final long STEP_MICROS = 30_000_000;

  /** Of what nothing is stopped for. */
  private static final int LAST_RANK = 2;

  /** With all there is heard. */
  static Demand of(Cluster cluster, long wallMicros) {
    return of(cluster, wallMicros, Confidence.FULL);
  }

  /** {@code confidence}: in the picture that decisions are made on. */
  public static Demand of(Cluster cluster, long wallMicros, Confidence confidence) {
    Set<Job> guaranteed = guaranteed(cluster);
    boolean needsSteady =
        cluster.jobs.values().stream()
            .anyMatch(
                job ->
                    !job.spec.spotAllowed()
                        && cluster.deployment.objectives().wantsPromptStart(job.spec));
    return new Demand(
        guaranteed, waiting(cluster, guaranteed, wallMicros), needsSteady, confidence);
  }

  /** No task that waits takes less of anything. */
  Resources leastPerTask() {
    return waiting.stream()
        .map(job -> job.spec.perTask())
        .reduce(Resources::least)
        .orElse(Resources.NONE);
  }

  /** Each fits into its team's guarantee together with the team's earlier unfinished jobs. */
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
   * Production, then what lies within a guarantee, then by priority. A gang that is wanted promptly
   * counts as if it lay within one for the order, not for stopping: room for one comes free rarely,
   * and bulk work within guarantees would take each piece of it first. What may be stopped for a
   * job always comes after it here, so room made by stopping never goes back to what was stopped.
   *
   * <p>Among equals the one due first, as long as it can still be in time: with too much to do,
   * working on what is late already would make everything late in turn. Whatever can't be in time,
   * the largest jobs above all, once came last for as long as others came that could: what is
   * overlooked moves ahead until it has begun. Among what lies within no guarantee, and so stops
   * nothing and may be stopped, it then comes before higher priorities too.
   */
  private static List<Job> waiting(Cluster cluster, Set<Job> guaranteed, long wallMicros) {
    Map<Job, Due> dues = new HashMap<>();
    List<Job> waiting = new ArrayList<>();
    for (Job job : cluster.jobs.values()) {
      if (!job.ended && job.nextWaiting(0) >= 0) {
        waiting.add(job);
        dues.put(job, due(cluster, job, wallMicros));
      }
    }
    ToIntFunction<Job> rank =
        job ->
            job.spec.priority() == Priority.PRODUCTION
                ? 0
                : guaranteed.contains(job) || prompt(cluster, job) ? 1 : LAST_RANK;
    waiting.sort(
        Comparator.comparingInt(rank)
            .thenComparing(
                job -> rank.applyAsInt(job) < LAST_RANK || overlooked(job, wallMicros) == 0)
            .thenComparing(job -> job.spec.priority())
            .thenComparing(job -> !guaranteed.contains(job))
            .thenComparing(dues::get));
    return waiting;
  }

  /** By how many steps the job moves ahead. */
  private static int overlooked(Job job, long wallMicros) {
    long waited = wallMicros - job.acceptedWallMicros - OVERLOOKED_MICROS;
    return waited < 0 || job.hasBegun()
        ? 0
        : 1 + (int) Math.min(waited / STEP_MICROS, Integer.MAX_VALUE - 1);
  }

  private static boolean prompt(Cluster cluster, Job job) {
    return job.spec.kind() == JobKind.GANG
        && cluster.deployment.objectives().wantsPromptStart(job.spec);
  }

  /** The soonest time due that can still be met, and how many are missed already. */
  private record Due(int missed, long atWallMicros) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      int byMissed = Integer.compare(missed, other.missed);
      return byMissed != 0 ? byMissed : Long.compare(atWallMicros, other.atWallMicros);
    }
  }

  private static Due due(Cluster cluster, Job job, long wallMicros) {
    List<Long> dues = cluster.deployment.objectives().dueMicros(job.spec);
    if (dues.isEmpty()) {
      return new Due(0, job.acceptedWallMicros + NO_DEADLINE_MICROS);
    }
    long doneAt = wallMicros + cluster.runTimes.expectedMicros(job);
    for (int missed = 0; missed < dues.size(); missed++) {
      long at = job.acceptedWallMicros + dues.get(missed);
      if (doneAt <= at) {
        return new Due(missed, at);
      }
    }
    return new Due(Math.max(0, dues.size() - overlooked(job, wallMicros)), job.acceptedWallMicros);
  }
}
