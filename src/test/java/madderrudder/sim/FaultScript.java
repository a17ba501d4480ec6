package madderrudder.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * A script of faults that takes a minute of virtual time at most, and tells whether the situation
 * that it is about has come about. One instance serves one run. The order of random draws is part
 * of a script: a seed replays it only as long as the order stays.
 */
abstract class FaultScript {
  static final long SECOND = SimulatedCluster.SECOND;
  static final List<String> TEAMS = List.of("alto", "basso", "canto");

  /** What each task of {@link #submitServices} takes. */
  private static final Resources SERVICE_TASK = Resources.of(4, 0, 8);

  /** A count when the script began, for comparison at its end. */
  long initialCount;

  /** How often, or how much of, what the script is about has been observed. */
  long observed;

  /** Schedules the faults. */
  abstract void inject(SimulatedCluster cluster);

  /** Whether the situation has come about; asked once all faults are over. */
  abstract boolean tookEffect(SimulatedCluster cluster);

  /** Submits services of every team, more than its limit allows, and cancels them later. */
  static List<String> submitServices(SimulatedCluster cluster, int perTeam) {
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < TEAMS.size() * perTeam; i++) {
      JobSpec job =
          JobSpecBuilder.job("req-" + (300_000 + cluster.users.submitted.size()), "stand")
              .team(TEAMS.get(i % TEAMS.size()))
              .kind(JobKind.SERVICE)
              .priority(Priority.PRODUCTION)
              .perTask(4, 8)
              .image("img-" + i % 4, 0.5)
              .build();
      cluster.users.submitJob(job);
      afterSeconds(
          cluster, 45 + cluster.scheduler.random.nextInt(40), () -> cluster.users.cancel(job.id()));
      jobs.add(job.id());
    }
    return jobs;
  }

  /** Those of the jobs that are live and have a task on a machine. */
  static List<String> runningAmong(SimulatedCluster cluster, List<String> jobs) {
    return jobs.stream()
        .filter(
            job -> cluster.invariants.isLive(job) && !cluster.invariants.machinesOf(job).isEmpty())
        .toList();
  }

  /**
   * Runs the action, and counts it as seen, at the first of so many seconds at which every team is
   * at its limit.
   */
  void whenAllTeamsAtLimit(SimulatedCluster cluster, int seconds, Runnable action) {
    if (TEAMS.stream().allMatch(team -> cluster.invariants.isAtLimit(team, SERVICE_TASK))) {
      observed++;
      action.run();
    } else if (seconds > 0) {
      afterSeconds(cluster, 1, () -> whenAllTeamsAtLimit(cluster, seconds - 1, action));
    }
  }

  /** Keeps in {@link #observed} the highest value at the seconds given, the last one excluded. */
  void observeMax(
      SimulatedCluster cluster, int fromSecond, int toSecond, int step, LongSupplier value) {
    for (int second = fromSecond; second < toSecond; second += step) {
      afterSeconds(cluster, second, () -> observed = Math.max(observed, value.getAsLong()));
    }
  }

  /** Partitions a worker from each controller; a coin decides each time whether it buffers. */
  static void partitionFromControllers(
      SimulatedCluster cluster, SimWorker worker, long durationMicros) {
    for (String name : cluster.controllerNames()) {
      cluster.network.partition(name, worker.id, cluster.scheduler.chance(0.5), durationMicros);
    }
  }

  static void afterSeconds(SimulatedCluster cluster, int seconds, Runnable action) {
    cluster.scheduler.after(seconds * SECOND, action);
  }
}
