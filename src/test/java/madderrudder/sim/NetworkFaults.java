package madderrudder.sim;

import java.util.List;

/** Scripts with messages that are delayed, duplicated or lost. See {@link FaultCombination}. */
final class NetworkFaults {
  private NetworkFaults() {}

  /**
   * Copies of heartbeats arrive up to four leases late, after newer ones, at any controller, leader
   * or not.
   */
  static final class LateHeartbeats extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.network.delayHeartbeatCopies(0.4, 50 * SECOND, 40 * SECOND);
      afterSeconds(cluster, 12, () -> cluster.crash(cluster.leader(), 3 * SECOND));
      afterSeconds(
          cluster,
          25,
          () ->
              cluster.cloud.workers().stream()
                  .filter(worker -> cluster.scheduler.chance(0.2))
                  .forEach(cluster.cloud::terminate));
      afterSeconds(cluster, 32, () -> cluster.store.failRangeReads(3 * SECOND));
      afterSeconds(cluster, 32, () -> cluster.crash(cluster.leader(), 3 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.network.lateHeartbeats > 20;
    }
  }

  /** The leader crashes while some machines are partitioned or receive no messages. */
  static final class FailoverWithUnreachableMachines extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.invariants.runningTasks();
      for (SimWorker worker : cluster.cloud.workers()) {
        long durationMicros = 3 * SECOND + cluster.scheduler.random.nextLong(25 * SECOND);
        switch (cluster.scheduler.random.nextInt(3)) {
          case 0 -> cluster.network.blockInbound(worker.id, durationMicros);
          case 1 -> partitionFromControllers(cluster, worker, durationMicros);
          default -> {}
        }
      }
      afterSeconds(cluster, 1, () -> cluster.crash(cluster.leader(), 2 * SECOND));
      afterSeconds(cluster, 14, () -> cluster.crash(cluster.leader(), SECOND / 3));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return initialCount > 5;
    }
  }

  /**
   * The leader is partitioned from the store and the other controllers, but not from workers and
   * users, while jobs are cancelled through its successor.
   */
  static final class IsolatedLeaderDuringCancellations extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.isolateFromStoreAndPeers(
          cluster.leader(), cluster.scheduler.chance(0.5), 45 * SECOND);
      afterSeconds(cluster, 6, () -> cluster.users.cancelRunning(5));
      observeMax(cluster, 7, 40, 1, cluster.invariants::runningCancelledTasks);
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 0;
    }
  }

  /**
   * Commands and replies are buffered for seconds and then delivered; machines hang for almost a
   * lease.
   */
  static final class DelayedCommands extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.invariants.starts;
      for (int second = 0; second < 40; second += 4) {
        afterSeconds(
            cluster,
            second,
            () -> {
              for (SimWorker worker : cluster.cloud.workers()) {
                switch (cluster.scheduler.random.nextInt(5)) {
                  case 0 ->
                      cluster.network.partition(
                          cluster.leader(),
                          worker.id,
                          true,
                          SECOND + cluster.scheduler.random.nextLong(8 * SECOND));
                  case 1 -> worker.hang(SECOND + cluster.scheduler.random.nextLong(8 * SECOND));
                  default -> {}
                }
              }
            });
      }
      afterSeconds(cluster, 20, () -> cluster.users.cancelRunning(3));
      afterSeconds(cluster, 22, () -> cluster.crash(cluster.leader(), 2 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.invariants.starts > initialCount;
    }
  }

  /**
   * Old heartbeats reach every controller right after a leader change, and again after the new
   * leader has acted.
   */
  static final class HeartbeatsReplayedToNextLeader extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.heartbeatReplay.delivered;
      List<String> services = submitServices(cluster, 8);
      for (int second = 0; second < 54; second += 18) {
        afterSeconds(
            cluster,
            second,
            () -> cluster.replayHeartbeatsToNextLeader(0.5, 9 * SECOND, 17 * SECOND));
        // Services that start after the capture and are cancelled just before the leader crashes
        // are missing from the captured heartbeats. All teams are at their limits, so that other
        // jobs wait for the capacity.
        afterSeconds(
            cluster,
            second + 9,
            () -> {
              List<String> runningBefore = runningAmong(cluster, services);
              runningBefore.stream()
                  .filter(job -> cluster.scheduler.chance(0.5))
                  .forEach(cluster.users::cancel);
              afterSeconds(cluster, 3, () -> services.addAll(submitServices(cluster, 2)));
              cluster.scheduler.after(
                  3 * SECOND + cluster.scheduler.random.nextLong(SECOND),
                  () ->
                      runningAmong(cluster, services).stream()
                          .filter(job -> !runningBefore.contains(job))
                          .forEach(cluster.users::cancel));
            });
        afterSeconds(
            cluster,
            second + 13,
            () -> {
              if (cluster.scheduler.chance(0.7)) {
                cluster.crash(
                    cluster.leader(), SECOND / 2 + cluster.scheduler.random.nextLong(4 * SECOND));
              } else {
                cluster.store.refuse(cluster.leader(), 6 * SECOND);
              }
            });
      }
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.heartbeatReplay.delivered > initialCount + 15;
    }
  }

  /**
   * Workers can't open connections to any controller, but still receive commands that a controller
   * sends them.
   */
  static final class OutboundBlockedWorkers extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      List<SimWorker> blocked =
          cluster.cloud.workers().stream()
              .filter(
                  worker -> cluster.invariants.tasksOn(worker) > 0 && cluster.scheduler.chance(0.6))
              .toList();
      initialCount = blocked.stream().mapToLong(SimWorker::epoch).sum();
      blocked.forEach(
          worker ->
              cluster.network.blockOutbound(
                  worker.id, 20 * SECOND + cluster.scheduler.random.nextLong(20 * SECOND)));
      afterSeconds(cluster, 2, () -> cluster.users.cancelRunning(3));
      afterSeconds(cluster, 5, () -> cluster.crash(cluster.leader(), 2 * SECOND));
      afterSeconds(cluster, 17, () -> cluster.users.cancelRunning(3));
      afterSeconds(
          cluster, 38, () -> observed = blocked.stream().mapToLong(SimWorker::epoch).sum());
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > initialCount;
    }
  }

  /**
   * A zone with workers and a controller is partitioned for longer than a lease; the leader may be
   * inside or outside.
   */
  static final class ZonePartitioned extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      String leaderZone = cluster.zoneOf(cluster.leader());
      String otherZone = leaderZone.equals("east") ? "west" : "east";
      String zone = cluster.scheduler.chance(0.3) ? leaderZone : otherZone;
      initialCount = cluster.epochsOfBusyWorkers(zone).size();
      // The controller that is the leader's delegate in the zone has no information about jobs that
      // are cancelled while their machines hang.
      cluster
          .epochsOfBusyWorkers(zone)
          .keySet()
          .forEach(
              worker -> worker.hang(5 * SECOND + cluster.scheduler.random.nextLong(2 * SECOND)));
      cluster.scheduler.after(SECOND / 5, () -> cluster.users.cancelRunning(8));
      afterSeconds(
          cluster,
          3,
          () -> cluster.partitionZone(zone, cluster.scheduler.chance(0.5), 45 * SECOND));
      afterSeconds(cluster, 10, () -> cluster.users.cancelRunning(4));
      afterSeconds(cluster, 28, () -> cluster.users.cancelRunning(2));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return initialCount > 0;
    }
  }
}
