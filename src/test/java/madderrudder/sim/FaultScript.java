package madderrudder.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * A script that injects faults within about a minute of virtual time, and reports afterwards
 * whether the intended situation occurred. An instance serves one run. The number and order of
 * random draws must stay as they are, since a change makes every seed a different run.
 */
abstract class FaultScript {
  static final long SECOND = SimulatedCluster.SECOND;
  static final List<String> TEAMS = List.of("alto", "basso", "canto");

  /** The resources of each task of {@link #submitServices}. */
  private static final Resources SERVICE_TASK = Resources.of(4, 0, 8);

  /** A count at the start of the script, for comparison at its end. */
  long initialCount;

  /** How often, or to which extent, the intended situation was observed. */
  long observed;

  /** Injects the first faults and schedules the others. */
  abstract void inject(SimulatedCluster cluster);

  /** Whether the intended situation occurred; called once all faults are over. */
  abstract boolean tookEffect(SimulatedCluster cluster);

  /**
   * Submits {@code perTeam} services of each team, and schedules the cancellation of each 45 to 84
   * s later. The teams reach their limits if there are enough services. Returns the ids of the
   * services.
   */
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

  /** Those of the jobs that are live and have a running task. */
  static List<String> runningAmong(SimulatedCluster cluster, List<String> jobs) {
    return jobs.stream()
        .filter(
            job -> cluster.invariants.isLive(job) && !cluster.invariants.machinesOf(job).isEmpty())
        .toList();
  }

  /**
   * Checks every second, for the given number of seconds, whether all teams are at their limits.
   * Runs the action, and increments {@link #observed}, the first time they are.
   */
  void whenAllTeamsAtLimit(SimulatedCluster cluster, int seconds, Runnable action) {
    if (TEAMS.stream().allMatch(team -> cluster.invariants.isAtLimit(team, SERVICE_TASK))) {
      observed++;
      action.run();
    } else if (seconds > 0) {
      afterSeconds(cluster, 1, () -> whenAllTeamsAtLimit(cluster, seconds - 1, action));
    }
  }

  /**
   * Samples the value every {@code step} seconds, from {@code fromSecond} to {@code toSecond}
   * exclusive, and keeps the highest sample in {@link #observed}.
   */
  void observeMax(
      SimulatedCluster cluster, int fromSecond, int toSecond, int step, LongSupplier value) {
    for (int second = fromSecond; second < toSecond; second += step) {
      afterSeconds(cluster, second, () -> observed = Math.max(observed, value.getAsLong()));
    }
  }

  /**
   * Partitions a worker from each controller; whether the partition buffers messages is drawn for
   * each controller.
   */
  static void partitionFromControllers(
      SimulatedCluster cluster, SimWorker worker, long durationMicros) {
    for (String name : cluster.controllerNames()) {
      cluster.network.partition(name, worker.id, cluster.scheduler.chance(0.5), durationMicros);
    }
  }

  /** Schedules the action. */
  static void afterSeconds(SimulatedCluster cluster, int seconds, Runnable action) {
    cluster.scheduler.after(seconds * SECOND, action);
  }
}
