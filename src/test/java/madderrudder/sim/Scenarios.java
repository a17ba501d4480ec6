package madderrudder.sim;

import madderrudder.coordination.policy.Deployment;

/** The beginnings that several tests share: a small cluster with random users. */
final class Scenarios {
  /** Random faults and submissions end here; the last faults go on for half a minute. */
  static final long FAULTS_END_MICROS = 210 * SimulatedCluster.SECOND;

  private Scenarios() {}

  /** A small cluster at its start, whose controllers believe in the given times of workers. */
  static SimulatedCluster smallCluster(long seed, Deployment.WorkerTimes configured) {
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            SimulatedCluster.defaultWorkerTimes(),
            configured,
            SimPolicies.smallCluster(20, true, true),
            SimulatedCluster.Size.SMALL);
    cluster.users.submitRandomJobs(3_000_000, FAULTS_END_MICROS);
    return cluster;
  }

  static SimulatedCluster smallCluster(long seed) {
    return smallCluster(seed, SimulatedCluster.defaultWorkerTimes());
  }

  /** Schedules random faults, one each 5 to 25 s, from 10 s on. */
  static void injectRandomFaults(SimulatedCluster cluster) {
    RandomFaults faults = new RandomFaults(cluster);
    for (long atMicros = 10 * SimulatedCluster.SECOND;
        atMicros < FAULTS_END_MICROS;
        atMicros += SimulatedCluster.SECOND * (5 + cluster.scheduler.random.nextLong(20))) {
      cluster.scheduler.after(atMicros, faults::inject);
    }
  }

  /**
   * A small cluster after a minute without faults, where tasks may run for 70 s after a
   * cancellation.
   *
   * @param delegation whether controllers answer workers that can't reach the leader
   */
  static SimulatedCluster clusterAfterOneMinute(long seed, boolean delegation) {
    return clusterAfterOneMinute(
        seed, delegation, 20 * SimulatedCluster.SECOND, 70 * SimulatedCluster.SECOND);
  }

  static SimulatedCluster clusterAfterOneMinute(
      long seed, boolean delegation, long leaseMicros, long cancelMicros) {
    Deployment.WorkerTimes times =
        new Deployment.WorkerTimes(
            1_500_000,
            leaseMicros,
            20 * SimulatedCluster.SECOND,
            4 * SimulatedCluster.SECOND,
            cancelMicros);
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            times,
            times,
            SimPolicies.smallCluster(20, delegation, false),
            SimulatedCluster.Size.SMALL);
    cluster.users.submitRandomJobs(3_000_000, FAULTS_END_MICROS);
    cluster.runUntil(60 * SimulatedCluster.SECOND);
    return cluster;
  }

  /** The zone that the leader is not in. */
  static String zoneWithoutLeader(SimulatedCluster cluster) {
    return cluster.zoneOf(cluster.leader()).equals("east") ? "west" : "east";
  }
}
