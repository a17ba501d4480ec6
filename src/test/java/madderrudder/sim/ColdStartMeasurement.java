package madderrudder.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.TaskId;

/**
 * Measures cold starts in virtual time, after all controllers were down. Not a test. The arguments
 * are {@code MACHINES DOWN_S BACK SEED...}: the size of the cluster, the seconds for which the
 * controllers are down, the number of controllers that restart, and the seeds. Prints one line for
 * each seed, for docs/measurements.md and for comparison with earlier versions of the sources.
 */
final class ColdStartMeasurement {
  private static final long SECOND = SimulatedCluster.SECOND;

  /** The resolution of the measured times. */
  private static final long STEP_MICROS = SECOND / 4;

  /** The time at which all controllers crash. */
  private static final int CRASH_AT_S = 60;

  /** How long the cluster is observed after the restart. */
  private static final int OBSERVED_S = 40;

  /**
   * Commands within this time after the restart count as part of the cold start; later ones do not.
   */
  private static final int COLD_START_S = 10;

  private ColdStartMeasurement() {}

  public static void main(String[] args) {
    int machines = Integer.parseInt(args[0]);
    int downS = Integer.parseInt(args[1]);
    int controllersBack = Integer.parseInt(args[2]);
    System.out.println(
        "seed machines tasks first_answer_s all_answered_s true_s services_s starts needless unused "
            + "requests_1s writes_1s cloud_1s");
    for (String seed : List.of(args).subList(3, args.length)) {
      System.out.println(run(Long.parseLong(seed), machines, downS, controllersBack));
    }
  }

  private static String run(long seed, int machines, int downS, int controllersBack) {
    OperatorPolicy policy = SimPolicies.largeCluster(4 * machines, false);
    SimulatedCluster cluster =
        new SimulatedCluster(seed, policy, SimulatedCluster.Size.of(machines));
    cluster.users.submitRandomJobs(
        800_000_000L / machines, (CRASH_AT_S + downS + OBSERVED_S) * SECOND);
    cluster.runUntil(CRASH_AT_S * SECOND);
    int machinesUp = cluster.cloud.workers().size();
    int tasks = cluster.invariants.heldTasks().size();
    long never = 10_000 * SECOND;
    cluster.crashAll(
        downS * SECOND,
        controllersBack > 1 ? (downS + 1) * SECOND : never,
        controllersBack > 2 ? (downS + 2) * SECOND : never);
    long backAt = (CRASH_AT_S + downS) * SECOND;
    cluster.runUntil(backAt - 1);
    Map<SimWorker, Integer> answered = new HashMap<>();
    cluster.cloud.workers().forEach(worker -> answered.put(worker, worker.answeredHeartbeats));
    int workers = answered.size();
    int starts = cluster.invariants.starts;
    int needless = cluster.invariants.rejectedStarts + cluster.invariants.needlessStops;
    int unused = cluster.cloud.returnedUnused;
    double firstAnswered = -1;
    double allAnswered = -1;
    double reconciled = -1;
    double services = -1;
    Set<TaskId> divergent = null;
    long maxRequests = 0;
    long maxWrites = 0;
    int maxCloudRequests = 0;
    long requests = cluster.store.requests;
    long writes = cluster.store.writesApplied;
    int cloudRequests = cluster.cloud.requests;
    for (long at = backAt; at <= backAt + OBSERVED_S * SECOND; at += STEP_MICROS) {
      cluster.runUntil(at);
      double seconds = (at - backAt) / 1e6;
      answered
          .keySet()
          .removeIf(
              worker -> worker.isTerminated() || worker.answeredHeartbeats > answered.get(worker));
      firstAnswered = firstAnswered < 0 && answered.size() < workers ? seconds : firstAnswered;
      allAnswered = allAnswered < 0 && answered.size() * 100 <= workers ? seconds : allAnswered;
      Set<TaskId> now = cluster.divergentTasks();
      divergent = divergent == null ? now : divergent;
      divergent.retainAll(now);
      reconciled = reconciled < 0 && divergent.isEmpty() ? seconds : reconciled;
      services = services < 0 && lackingReplicas(cluster) == 0 ? seconds : services;
      if (at == backAt + COLD_START_S * SECOND) {
        starts = cluster.invariants.starts - starts;
        needless = cluster.invariants.rejectedStarts + cluster.invariants.needlessStops - needless;
      }
      if ((at - backAt) % SECOND == 0) {
        maxRequests = Math.max(maxRequests, cluster.store.requests - requests);
        maxWrites = Math.max(maxWrites, cluster.store.writesApplied - writes);
        maxCloudRequests = Math.max(maxCloudRequests, cluster.cloud.requests - cloudRequests);
        requests = cluster.store.requests;
        writes = cluster.store.writesApplied;
        cloudRequests = cluster.cloud.requests;
      }
    }
    if (!cluster.invariants.violations.isEmpty() || !cluster.store.violations.isEmpty()) {
      throw new AssertionError(cluster.invariants.violations + " " + cluster.store.violations);
    }
    return String.format(
        Locale.ROOT,
        "%d %d %d %.2f %.2f %.2f %.2f %d %d %d %d %d %d",
        seed,
        machinesUp,
        tasks,
        firstAnswered,
        allAnswered,
        reconciled,
        services,
        starts,
        needless,
        cluster.cloud.returnedUnused - unused,
        maxRequests,
        maxWrites,
        maxCloudRequests);
  }

  /**
   * The number of replicas that no worker holds, of live services accepted before the controllers
   * crashed.
   */
  private static int lackingReplicas(SimulatedCluster cluster) {
    Set<TaskId> held = new HashSet<>(cluster.invariants.heldTasks());
    int lacking = 0;
    for (String job : cluster.invariants.acceptedBefore(CRASH_AT_S * SECOND)) {
      if (cluster.invariants.isLive(job)
          && cluster.invariants.specOf(job).kind() == JobKind.SERVICE) {
        for (int task = 0; task < cluster.invariants.specOf(job).tasks(); task++) {
          TaskId id = new TaskId(job, task);
          lacking += held.contains(id) && cluster.invariants.holderOf(id) != null ? 0 : 1;
        }
      }
    }
    return lacking;
  }
}
