package madderrudder.sim;

/**
 * Scripts with users who cancel, resubmit and poll at critical moments. See {@link
 * FaultCombination}.
 */
final class UserFaults {
  private UserFaults() {}

  /** Cancellations, polls and resubmissions of a job arrive around the end of its last task. */
  static final class CancellationAtCompletion extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.users.cancelledAtCompletion;
      cluster.users.cancelAtCompletion(0.8, 60 * SECOND);
      // A slower store makes more writes and reads of different controllers overlap.
      cluster.store.slowDown(cluster.scheduler.chance(0.5) ? 12 : 1, 60 * SECOND);
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.users.cancelledAtCompletion > initialCount + 2;
    }
  }

  /**
   * Users poll every controller within milliseconds after each change of a job, resubmit and
   * cancel, while controllers are paused, partitioned or restarting.
   */
  static final class ImmediatePolling extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.users.immediatePolls;
      cluster.users.pollImmediately(55 * SECOND);
      afterSeconds(
          cluster,
          5,
          () ->
              cluster.network.partition(
                  cluster.controllerNames().get(0), "store", true, 6 * SECOND));
      afterSeconds(cluster, 14, () -> cluster.flap(cluster.controllerNames().get(1)));
      afterSeconds(cluster, 20, () -> cluster.pause(cluster.controllerNames().get(2), 4 * SECOND));
      afterSeconds(cluster, 26, () -> cluster.store.slowDown(60, 10 * SECOND));
      afterSeconds(cluster, 30, () -> cluster.users.cancelRunning(5));
      afterSeconds(cluster, 40, () -> cluster.crash(cluster.leader(), SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.users.immediatePolls > initialCount + 60;
    }
  }

  /**
   * Users resubmit live jobs, cancel ended ones, and submit jobs that can't run or have a missing
   * or invalid field.
   */
  static final class InvalidRequests extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.users.invalidRequests;
      cluster.users.sendInvalidRequests(60 * SECOND);
      afterSeconds(cluster, 8, () -> cluster.cloud.outage(30 * SECOND));
      afterSeconds(
          cluster,
          10,
          () -> cluster.controllerNames().forEach(name -> cluster.crash(name, 2 * SECOND)));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.users.invalidRequests > initialCount + 200;
    }
  }

  /**
   * Running jobs are cancelled within 200 ms and their machines hang, some for longer than their
   * leases.
   */
  static final class CancellationOnHungMachines extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      for (int second = 0; second < 40; second += 10) {
        afterSeconds(
            cluster,
            second,
            () -> {
              cluster.cancelJobsAndHangMachines(
                  6, 3 * SECOND + cluster.scheduler.random.nextLong(15 * SECOND));
              observed = Math.max(observed, cluster.invariants.runningTasks());
            });
        afterSeconds(
            cluster,
            second + 1,
            () -> {
              if (cluster.scheduler.chance(0.5)) {
                cluster.crash(cluster.leader(), 2 * SECOND);
              }
            });
      }
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 5;
    }
  }
}
