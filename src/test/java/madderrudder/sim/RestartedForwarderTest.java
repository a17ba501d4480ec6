package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against commands that reach the wrong worker: a controller that forwards heartbeats to the
 * leader restarts while they are held on their way, and the leader's answers to them arrive at the
 * new process, where other workers wait for answers. To run more seeds: {@code mvn -B test
 * -Dtest=RestartedForwarderTest -DargLine=-DforwarderSeeds=500}.
 */
@Timeout(60)
class RestartedForwarderTest {
  private static final long SECOND = SimulatedCluster.SECOND;
  private static final long CUT_MICROS = 60 * SECOND;
  private static final int OWNED_MACHINES = 64;

  /** The heartbeats that each of the two processes forwards at least while they are held. */
  private static final int MIN_FORWARDED = 6;

  private static final int REPLICAS = 100;

  /** An idle cluster of owned machines, whose workers report to the leader. */
  private static SimulatedCluster idleCluster(long seed) {
    Deployment.WorkerTimes times =
        new Deployment.WorkerTimes(8 * SECOND, 60 * SECOND, 35 * SECOND, 4 * SECOND, 100 * SECOND);
    SimulatedCluster cluster =
        new SimulatedCluster(
            seed,
            times,
            times,
            SimPolicies.smallCluster(20, true, false),
            new SimulatedCluster.Size(OWNED_MACHINES, 0, 200, 200, 8));
    cluster.runUntil(20 * SECOND);
    return cluster;
  }

  private static String controllerIn(String zone, SimulatedCluster cluster) {
    return cluster.controllerNames().stream()
        .filter(name -> cluster.zoneOf(name).equals(zone))
        .findFirst()
        .orElseThrow();
  }

  /** Partitions the workers of the zone from all controllers but one. */
  private static void leaveOnly(String controller, String zone, SimulatedCluster cluster) {
    for (SimWorker worker : cluster.cloud.workers()) {
      for (String other : cluster.controllerNames()) {
        if (worker.zone.equals(zone) && !other.equals(controller)) {
          cluster.network.partition(other, worker.id, false, CUT_MICROS);
        }
      }
    }
  }

  private static void runUntilForwarded(int count, String forwarder, SimulatedCluster cluster) {
    long deadlineMicros = cluster.scheduler.nowMicros + 30 * SECOND;
    while (cluster.metric(forwarder, "reports_passed_on") < count) {
      cluster.runUntil(cluster.scheduler.nowMicros + SECOND / 20);
      assertTrue(cluster.scheduler.nowMicros < deadlineMicros, "too few heartbeats are forwarded");
    }
  }

  private static JobSpec serviceIn(String zone) {
    return JobSpecBuilder.job("req-100000", "desk")
        .kind(JobKind.SERVICE)
        .tasks(REPLICAS)
        .perTask(1, 1)
        .zone(zone)
        .build();
  }

  /**
   * Heartbeats are held on their way to the leader while it places tasks on the machines of the
   * zone. The restarted forwarder has forwarded heartbeats of its own, which are held too, before
   * the leader receives and answers those of both processes.
   */
  private static void restartWhileHeartbeatsAreHeld(
      SimulatedCluster cluster, String forwarder, String zone) {
    String leader = cluster.leader();
    cluster.network.hold(forwarder, leader);
    cluster.users.submitJob(serviceIn(zone));
    runUntilForwarded(1 + MIN_FORWARDED, forwarder, cluster);
    cluster.crash(forwarder, SECOND / 2);
    cluster.runUntil(cluster.scheduler.nowMicros + SECOND);
    runUntilForwarded(MIN_FORWARDED, forwarder, cluster);
    cluster.network.release(forwarder, leader);
    cluster.runUntil(cluster.scheduler.nowMicros + SECOND / 2);
    assertEquals(leader, cluster.leader(), "leader after the restart of " + forwarder);
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, Long.getLong("forwarderSeeds", 8));
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void answersToHeartbeatsOfEarlierProcessReachNoWorker(long seed) {
    SimulatedCluster cluster = idleCluster(seed);
    String zone = Scenarios.zoneWithoutLeader(cluster);
    String forwarder = controllerIn(zone, cluster);
    leaveOnly(forwarder, zone, cluster);
    runUntilForwarded(1, forwarder, cluster);
    restartWhileHeartbeatsAreHeld(cluster, forwarder, zone);
    assertTrue(
        cluster.metric(forwarder, "forwarded_responses_for_other_processes") > 0,
        "no answer to a heartbeat of the earlier process arrived, seed " + seed);
    cluster.runUntil(CUT_MICROS + 60 * SECOND);
    cluster.assertNoViolations("forwarder restarted while heartbeats were held");
  }
}
