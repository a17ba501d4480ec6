package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The store refuses the leader alone, other controllers confirm cancellations, and then the store
 * is unavailable to all for longer than the cancellation time, while workers go on reporting. The
 * tasks of those jobs are gone in time all the same, whatever becomes of the leader. A longer
 * search: {@code mvn -B test -Dtest=CancellationInStoreOutageTest -DargLine=-DoutageSeeds=50}.
 */
@Timeout(120)
class CancellationInStoreOutageTest {
  private static final long SEEDS = Long.getLong("outageSeeds", 2);
  private static final long SECOND = SimulatedCluster.SECOND;

  /** The times of a deployment's workers. */
  private enum WorkerTimesCase {
    CANCEL_WITHIN_30_S(SimulatedCluster.defaultWorkerTimes()),
    CANCEL_WITHIN_52_S(
        new Deployment.WorkerTimes(4 * SECOND, 22 * SECOND, 35 * SECOND, 4 * SECOND, 52 * SECOND)),
    CANCEL_WITHIN_47_S(
        new Deployment.WorkerTimes(4 * SECOND, 22 * SECOND, 35 * SECOND, 4 * SECOND, 47 * SECOND));

    private final Deployment.WorkerTimes workers;

    WorkerTimesCase(Deployment.WorkerTimes workers) {
      this.workers = workers;
    }

    /** How long heartbeats may be answered without reading the store. */
    long answerWindowMicros() {
      return workers.cancelMicros() - workers.leaseMicros() - 2 * SECOND;
    }
  }

  /** What happens to the leader before or in the outage. */
  private enum LeaderFate {
    /** The leader keeps its lease through the outage. */
    KEEPS_LEADING,
    /** It crashes in the outage, and another process of its name starts soon after. */
    RESTARTED {
      @Override
      void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.scheduler.after(
            cluster.scheduler.random.nextLong(times.answerWindowMicros()),
            () ->
                cluster.crash(leader, SECOND / 10 + cluster.scheduler.random.nextLong(3 * SECOND)));
      }
    },
    /** It is paused in the outage, and then goes on. */
    PAUSED {
      @Override
      void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.scheduler.after(
            cluster.scheduler.random.nextLong(4 * SECOND),
            () ->
                cluster.pause(
                    leader, cluster.scheduler.random.nextLong(times.answerWindowMicros())));
      }
    },
    /** The other controllers can't reach it either. */
    ISOLATED {
      @Override
      void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster
            .controllerNames()
            .forEach(
                other ->
                    cluster.network.partition(
                        leader, other, cluster.scheduler.chance(0.5), times.answerWindowMicros()));
      }
    },
    /** Workers can't reach it, and their heartbeats are relayed by others. */
    HEARTBEATS_RELAYED {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.cloud.workers().stream()
            .filter(worker -> worker.zone.equals("east"))
            .forEach(
                worker ->
                    cluster.network.partition(
                        leader, worker.id, false, 2 * times.workers.cancelMicros()));
      }

      @Override
      boolean tookEffect(SimulatedCluster cluster) {
        return cluster.controllerNames().stream()
            .anyMatch(name -> cluster.metric(name, "reports_passed_on") > 0);
      }
    },
    /** Its lease expires before the outage; another is elected, and can't read the store. */
    SUCCESSOR_CANNOT_READ {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.store.refuse(leader, 2 * times.workers.cancelMicros());
        cluster.store.failRangeReads(times.workers.cancelMicros() + 10 * SECOND);
        cluster.runUntil(
            cluster.scheduler.nowMicros + 4 * SECOND + times.workers.cancelMicros() / 2);
      }
    },
    /**
     * All are refused until the leader hardly answers any more; another is elected, and then nobody
     * reaches the store.
     */
    ELECTED_BRIEFLY_BEFORE {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        long untilMicros = cluster.scheduler.nowMicros + times.answerWindowMicros() - SECOND;
        cluster
            .controllerNames()
            .forEach(name -> cluster.store.refuse(name, untilMicros - cluster.scheduler.nowMicros));
        cluster.store.refuse(leader, 2 * times.workers.cancelMicros());
        cluster.store.failRangeReads(times.answerWindowMicros() + 2 * SECOND);
        cluster.runUntil(untilMicros + 400_000);
      }
    };

    void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {}

    boolean tookEffect(SimulatedCluster cluster) {
      return true;
    }

    /** What comes between the confirmations and the outage. */
    void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {}
  }

  private record Scenario(
      WorkerTimesCase times, LeaderFate leaderFate, boolean delegation, long seed) {}

  static Stream<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (WorkerTimesCase times : WorkerTimesCase.values()) {
        for (LeaderFate leaderFate : LeaderFate.values()) {
          scenarios.add(new Scenario(times, leaderFate, seed % 2 == 1, seed));
        }
      }
    }
    return scenarios.stream();
  }

  private static OperatorPolicy policy(boolean delegation) {
    return SimPolicies.smallCluster(60, delegation, false);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("scenarios")
  void cancelledTasksEndBeforeDeadline(Scenario scenario) {
    OperatorPolicy policy = policy(scenario.delegation());
    Deployment.WorkerTimes workers = scenario.times().workers;
    SimulatedCluster cluster =
        new SimulatedCluster(
            scenario.seed(), workers, workers, policy, SimulatedCluster.Size.SMALL);
    cluster.users.submitRandomJobs(3 * SECOND, 100 * SECOND);
    cluster.runUntil(60 * SECOND);
    long runningCancelledTasks = 0;
    int answeredInOutage = 0;
    // One outage, or two in a row.
    for (long outage = 0; outage <= scenario.seed() % 2; outage++) {
      String leader = cluster.leader();
      cluster.store.refuse(leader, SECOND + cluster.scheduler.random.nextLong(15 * SECOND));
      cluster.runUntil(
          cluster.scheduler.nowMicros + 100_000 + cluster.scheduler.random.nextLong(300_000));
      cluster.users.cancelRunning(cluster.scheduler.chance(0.3) ? 1 : 50);
      cluster.runUntil(
          cluster.scheduler.nowMicros + 300_000 + cluster.scheduler.random.nextLong(1_500_000));
      runningCancelledTasks += cluster.invariants.runningCancelledTasks();
      int answeredBefore = answeredHeartbeats(cluster);
      scenario.leaderFate().beforeOutage(cluster, leader, scenario.times());
      long outageMicros =
          (long) (workers.cancelMicros() * (cluster.scheduler.chance(0.2) ? 0.6 : 1.3));
      cluster.store.outage(outageMicros);
      scenario.leaderFate().duringOutage(cluster, leader, scenario.times());
      cluster.runUntil(cluster.scheduler.nowMicros + outageMicros);
      answeredInOutage += answeredHeartbeats(cluster) - answeredBefore;
      cluster.runUntil(cluster.scheduler.nowMicros + 20 * SECOND);
    }
    assertTrue(
        runningCancelledTasks > 0,
        "no task of a cancelled job was running when the store went away, " + scenario);
    // Without delegation nothing is granted, and a leader that has not read what there is keeps
    // silent.
    assertTrue(
        answeredInOutage > 0
            || (scenario.leaderFate() == LeaderFate.SUCCESSOR_CANNOT_READ
                && !scenario.delegation()),
        "no heartbeat was answered after the confirmations, " + scenario);
    assertTrue(
        scenario.leaderFate().tookEffect(cluster) || !scenario.delegation(),
        "did not come about, " + scenario);
    cluster.runUntil(cluster.scheduler.nowMicros + 2 * workers.cancelMicros());
    cluster.assertNoViolations(scenario);
    assertTrue(
        cluster.invariants.slowestCancellationMicros <= workers.cancelMicros(),
        cluster.invariants.slowestCancellationMicros / 1e6 + " s, " + scenario);
    cluster.users.pollAllJobs();
    cluster.runUntil(cluster.scheduler.nowMicros + 120 * SECOND);
    cluster.invariants.checkAtEnd();
    cluster.assertNoViolations(scenario);
  }

  /**
   * A reply to an outdated heartbeat renews the lease too, and so must say what is to be stopped.
   */
  @Test
  void everyHeartbeatReplyStopsUnknownTasks() {
    SimulatedCluster cluster = new SimulatedCluster(1, policy(true));
    cluster.runUntil(10 * SECOND);
    String heartbeat =
        "{\"vessel\":\"m-900000\",\"addr\":\"10.9.0.1:1\",\"build\":\"small\",\"berth\":\"east\",\"watch\":1,\"knot\":5,"
            + "\"helm\":0,\"strokes\":[{\"stroke\":\"req-999999/0\",\"launch\":7,\"trim\":\"running\"}]}";
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      cluster.sendHeartbeat(
          cluster.leader(),
          heartbeat,
          response ->
              answers.add(response.status() + new String(response.body(), StandardCharsets.UTF_8)));
      cluster.runUntil(cluster.scheduler.nowMicros + SECOND);
    }
    assertEquals(2, answers.size());
    answers.forEach(
        answer ->
            assertTrue(
                answer.startsWith("200")
                    && answer.contains("\"stop\"")
                    && answer.contains("req-999999/0"),
                answer));
  }

  private static int answeredHeartbeats(SimulatedCluster cluster) {
    return cluster.cloud.workers().stream().mapToInt(worker -> worker.answeredHeartbeats).sum();
  }
}
