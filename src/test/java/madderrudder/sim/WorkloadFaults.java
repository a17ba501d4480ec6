package madderrudder.sim;

import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;

/**
 * Scripts with loads that fill quotas and machines, and with faults under these loads. See {@link
 * FaultCombination}.
 */
final class WorkloadFaults {
  private WorkloadFaults() {}

  /**
   * Every team is at its limit while jobs on partitioned or hung machines are cancelled and the
   * leader crashes.
   */
  static final class CancellationsAtQuota extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      submitServices(cluster, 9);
      whenAllTeamsAtLimit(
          cluster,
          50,
          () -> {
            long durationMicros = 12 * SECOND + cluster.scheduler.random.nextLong(10 * SECOND);
            for (String job : cluster.users.cancelRunning(8)) {
              for (SimWorker worker : cluster.invariants.machinesOf(job)) {
                if (cluster.scheduler.chance(0.5)) {
                  worker.hang(SECOND + cluster.scheduler.random.nextLong(9 * SECOND));
                } else {
                  partitionFromControllers(cluster, worker, durationMicros);
                }
              }
            }
            afterSeconds(cluster, 1, () -> cluster.crash(cluster.leader(), 2 * SECOND));
            afterSeconds(cluster, 12, () -> cluster.crash(cluster.leader(), SECOND / 3));
            afterSeconds(cluster, 20, () -> cluster.users.cancelRunning(6));
          });
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 0;
    }
  }

  /**
   * The leader crashes while every team is at its limit and some machines are unreachable; users
   * cancel jobs during the failover.
   */
  static final class FailoverAtQuota extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      submitServices(cluster, 9);
      whenAllTeamsAtLimit(
          cluster,
          50,
          () -> {
            cluster.cloud.workers().stream()
                .filter(worker -> cluster.scheduler.chance(0.4))
                .forEach(
                    worker -> {
                      if (cluster.scheduler.chance(0.5)) {
                        cluster.network.blockOutbound(worker.id, 20 * SECOND);
                      }
                      partitionFromControllers(cluster, worker, 7 * SECOND);
                    });
            cluster.crash(cluster.leader(), 2 * SECOND);
            for (int second = 1; second < 10; second += 2) {
              afterSeconds(cluster, second, () -> cluster.users.cancelRunning(2));
            }
          });
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 0;
    }
  }

  /** Four one-task jobs per second, a quarter of them cancelled; the leader crashes in between. */
  static final class JobBurst extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.users.submitted.size();
      for (int quarter = 0; quarter < 200; quarter++) {
        JobSpec job =
            JobSpecBuilder.job(String.format("req-6%05d", quarter), "swarm")
                .priority(Priority.LOW)
                .perTask(0.25, 0.5)
                .image("img-1", 0.2)
                .estimateMicros(2_000_000)
                .build();
        cluster.scheduler.after(quarter * SECOND / 4, () -> cluster.users.submitJob(job));
        if (quarter % 4 == 0) {
          cluster.scheduler.after(
              quarter * SECOND / 4 + cluster.scheduler.random.nextLong(6 * SECOND),
              () -> cluster.users.cancel(job.id()));
        }
      }
      afterSeconds(cluster, 20, () -> cluster.crash(cluster.leader(), SECOND));
      afterSeconds(cluster, 35, () -> cluster.store.refuse(cluster.leader(), 5 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.users.submitted.size() >= initialCount + 200;
    }
  }

  /** More work than capacity, of high and low priority, over slow links. */
  static final class Overload extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.network.slowDown(150, 50 * SECOND);
      for (int i = 0; i < 24; i++) {
        JobSpec job =
            JobSpecBuilder.job("req-5000" + (10 + i), i % 2 == 0 ? "rush" : "heap")
                .team(TEAMS.get(i % 3))
                .priority(i % 2 == 0 ? Priority.HIGH : Priority.LOW)
                .tasks(6)
                .perTask(2, 4)
                .image("img-" + i % 4, 1)
                .estimateMicros(6_000_000)
                .build();
        afterSeconds(cluster, i / 4, () -> cluster.users.submitJob(job));
      }
      observeMax(cluster, 12, 40, 4, cluster.invariants::waitingTasks);
      afterSeconds(cluster, 20, () -> cluster.crash(cluster.leader(), 3 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 20;
    }
  }

  /** Gangs and arrays bound to one zone lose machines, and the zone is partitioned for a time. */
  static final class ZoneBoundJobs extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      for (int i = 0; i < 10; i++) {
        boolean array = i % 3 > 0;
        JobSpec job =
            JobSpecBuilder.job("req-40000" + i, "bound")
                .kind(array ? JobKind.ARRAY : JobKind.GANG)
                .tasks(array ? 5 : 2)
                .perTask(1, 2)
                .image("img-2", 1)
                .zone(array && i % 2 == 0 ? "east" : null)
                .oneZone(!array || i % 2 == 1)
                .estimateMicros(8_000_000)
                .build();
        afterSeconds(cluster, i, () -> cluster.users.submitJob(job));
      }
      for (int second = 8; second < 36; second += 7) {
        afterSeconds(
            cluster,
            second,
            () ->
                cluster.cloud.workers().stream()
                    .filter(
                        worker ->
                            worker.zone.equals("east")
                                && cluster.invariants.tasksOn(worker) > 0
                                && (observed < 2 || cluster.scheduler.chance(0.4)))
                    .forEach(
                        worker -> {
                          observed++;
                          if (cluster.scheduler.chance(0.5)) {
                            cluster.cloud.terminate(worker);
                          } else {
                            worker.hang(15 * SECOND);
                          }
                        }));
      }
      afterSeconds(
          cluster,
          20,
          () -> cluster.partitionZone("east", cluster.scheduler.chance(0.5), 13 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 1;
    }
  }
}
