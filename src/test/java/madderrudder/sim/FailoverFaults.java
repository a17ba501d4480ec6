package madderrudder.sim;

import madderrudder.protocol.JobSpec;

/**
 * Scripts with controllers that crash, restart repeatedly and take over from each other. See {@link
 * FaultCombination}.
 */
final class FailoverFaults {
  private FailoverFaults() {}

  /** Jobs of two or three tasks that end far apart, with a failover after each end. */
  static final class FailoverBetweenTaskEnds extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      cluster.store.slowDown(30, 45 * SECOND);
      for (int i = 0; i < 9; i++) {
        JobSpec job =
            JobSpecBuilder.job("req-70000" + i, "pair")
                .tasks(2 + i % 2)
                .perTask(0.5, 1)
                .estimateMicros(4_000_000)
                .build();
        cluster.invariants.staggeredJobs.add(job.id());
        cluster.users.submitJob(job);
      }
      for (int second = 8; second < 70; second += 7) {
        afterSeconds(
            cluster,
            second,
            () -> {
              observed = Math.max(observed, cluster.invariants.partlyCompletedJobs());
              if (cluster.scheduler.chance(0.5)) {
                cluster.crash(
                    cluster.leader(), SECOND + cluster.scheduler.random.nextLong(3 * SECOND));
              } else {
                cluster.store.refuse(cluster.leader(), 4 * SECOND);
              }
            });
      }
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 2;
    }
  }

  /**
   * Leadership changes repeatedly, then all controllers crash and one restarts within a second:
   * several terms within one lease.
   */
  static final class RepeatedFailovers extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.highestTerm();
      cluster.store.refuse(cluster.leader(), 4 * SECOND);
      for (double second : new double[] {4.5, 7, 9.5, 10, 10.4}) {
        cluster.scheduler.after((long) (second * SECOND), () -> cluster.flap(cluster.leader()));
      }
      afterSeconds(
          cluster,
          13,
          () ->
              cluster
                  .controllerNames()
                  .forEach(
                      name ->
                          cluster.crash(
                              name,
                              SECOND / 5
                                  + (name.equals(cluster.controllerNames().get(1))
                                      ? 0
                                      : 12 * SECOND))));
      afterSeconds(cluster, 15, () -> cluster.store.outage(4 * SECOND));
      afterSeconds(cluster, 17, () -> cluster.flap(cluster.controllerNames().get(1)));
      afterSeconds(cluster, 30, () -> cluster.controllerNames().forEach(cluster::flap));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.highestTerm() >= initialCount + 4;
    }
  }

  /**
   * New machines boot within two seconds and are given tasks immediately, while writes are delayed
   * and the leader crashes.
   */
  static final class FastBootsDuringFailovers extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.cloud.machinesCreated();
      cluster.cloud.overrideBoots(0, 0.05, 45 * SECOND);
      cluster.cloud.workers().stream()
          .filter(worker -> cluster.scheduler.chance(0.6))
          .forEach(cluster.cloud::terminate);
      cluster.store.slowDown(25, 40 * SECOND);
      cluster.store.delayCommits(0.15, 30 * SECOND);
      submitServices(cluster, 5);
      for (int second = 2; second < 40; second += 9) {
        afterSeconds(
            cluster,
            second + cluster.scheduler.random.nextInt(3),
            () -> cluster.crash(cluster.leader(), SECOND / 2));
      }
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.cloud.machinesCreated() > initialCount;
    }
  }

  /** Jobs are cancelled during failovers, up to one every 100 ms. */
  static final class CancellationsDuringFailovers extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.highestTerm();
      // With a slow store, the new leader reads the records in several slow range reads, and
      // records change between two of them.
      cluster.store.slowDown(30, 45 * SECOND);
      submitServices(cluster, 8);
      for (int second = 5; second < 40; second += 9) {
        afterSeconds(
            cluster,
            second,
            () -> {
              if (cluster.scheduler.chance(0.5)) {
                cluster.crash(cluster.leader(), 2 * SECOND);
              } else {
                cluster.store.refuse(cluster.leader(), 6 * SECOND);
              }
              for (int tenth = 0; tenth < 80; tenth += 1 + cluster.scheduler.random.nextInt(4)) {
                cluster.scheduler.after(
                    tenth * SECOND / 10, () -> observed += cluster.users.cancelRunning(1).size());
              }
            });
      }
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return observed > 5 && cluster.highestTerm() > initialCount + 1;
    }
  }

  /**
   * All controllers are down for longer than a lease, with cancellations immediately before and
   * after.
   */
  static final class AllControllersDown extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.invariants.runningTasks();
      cluster.users.cancelRunning(4);
      cluster.scheduler.after(
          cluster.scheduler.random.nextLong(SECOND),
          () ->
              cluster.crashAll(
                  12 * SECOND + cluster.scheduler.random.nextLong(15 * SECOND),
                  14 * SECOND,
                  13 * SECOND));
      afterSeconds(cluster, 14, () -> cluster.users.cancelRunning(3));
      afterSeconds(cluster, 16, () -> cluster.users.cancelRunning(3));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return initialCount > 5;
    }
  }

  /**
   * The leader changes about ten times within a minute, also during a store outage; crashed
   * processes restart within a second.
   */
  static final class LeaderFlapping extends FaultScript {
    @Override
    void inject(SimulatedCluster cluster) {
      initialCount = cluster.highestTerm();
      for (int second = 0; second < 60; second += 4) {
        afterSeconds(
            cluster,
            second,
            () -> {
              switch (cluster.scheduler.random.nextInt(3)) {
                case 0 ->
                    cluster.crash(
                        cluster.leader(), SECOND / 20 + cluster.scheduler.random.nextLong(SECOND));
                case 1 -> cluster.store.refuse(cluster.leader(), 3 * SECOND + SECOND / 2);
                default -> cluster.flap(cluster.leader());
              }
              if (cluster.scheduler.chance(0.4)) {
                cluster.users.cancelRunning(1);
              }
            });
      }
      afterSeconds(cluster, 24, () -> cluster.store.outage(9 * SECOND));
    }

    @Override
    boolean tookEffect(SimulatedCluster cluster) {
      return cluster.highestTerm() >= initialCount + 7;
    }
  }
}
