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
 * Guards against cancelled tasks that run past their deadline: the store refuses the leader alone,
 * other controllers confirm cancellations, and then the store is unavailable to all for longer than
 * the cancellation time, while workers go on sending heartbeats. The leader may not have read the
 * cancellations; the tasks must nevertheless end in time, whatever happens to the leader. To run
 * more seeds: {@code mvn -B test -Dtest=CancellationInStoreOutageTest -DargLine=-DoutageSeeds=50}.
 */
@Timeout(120)
class CancellationInStoreOutageTest {
  private static final long SEEDS = Long.getLong("outageSeeds", 2);
  private static final long SECOND = SimulatedCluster.SECOND;

  /** Worker times of a deployment, named after the time within which cancelled tasks must end. */
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

    /** The time for which heartbeats may be answered without a read of the store. */
    long answerWindowMicros() {
      return workers.cancelDeadlineMicros() - workers.leaseMicros() - 2 * SECOND;
    }
  }

  /** What happens to the leader before or in the outage. */
  private enum LeaderFate {
    /** The leader keeps its lease through the outage. */
    KEEPS_LEADING,
    /**
     * The leader crashes during the outage, and another process with its name starts within about
     * three seconds.
     */
    RESTARTED {
      @Override
      void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.scheduler.after(
            cluster.scheduler.random.nextLong(times.answerWindowMicros()),
            () ->
                cluster.crash(leader, SECOND / 10 + cluster.scheduler.random.nextLong(3 * SECOND)));
      }
    },
    /** The leader is paused during the outage and then continues. */
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
    /** The leader is also partitioned from the other controllers. */
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
    /**
     * The workers of a zone can't reach the leader, and other controllers relay their heartbeats.
     */
    HEARTBEATS_RELAYED {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.cloud.workers().stream()
            .filter(worker -> worker.zone.equals("east"))
            .forEach(
                worker ->
                    cluster.network.partition(
                        leader, worker.id, false, 2 * times.workers.cancelDeadlineMicros()));
      }

      @Override
      boolean tookEffect(SimulatedCluster cluster) {
        return cluster.controllerNames().stream()
            .anyMatch(name -> cluster.metric(name, "reports_passed_on") > 0);
      }
    },
    /**
     * The leader's lease expires before the outage. The elected successor can't read the stored
     * state.
     */
    SUCCESSOR_CANNOT_READ {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        cluster.store.refuse(leader, 2 * times.workers.cancelDeadlineMicros());
        cluster.store.failRangeReads(times.workers.cancelDeadlineMicros() + 10 * SECOND);
        cluster.runUntil(
            cluster.scheduler.nowMicros + 4 * SECOND + times.workers.cancelDeadlineMicros() / 2);
      }
    },
    /**
     * The store refuses all controllers until shortly before the leader may no longer answer
     * heartbeats. Another controller is elected immediately before the outage.
     */
    ELECTED_BRIEFLY_BEFORE {
      @Override
      void beforeOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {
        long untilMicros = cluster.scheduler.nowMicros + times.answerWindowMicros() - SECOND;
        cluster
            .controllerNames()
            .forEach(name -> cluster.store.refuse(name, untilMicros - cluster.scheduler.nowMicros));
        cluster.store.refuse(leader, 2 * times.workers.cancelDeadlineMicros());
        cluster.store.failRangeReads(times.answerWindowMicros() + 2 * SECOND);
        cluster.runUntil(untilMicros + 400_000);
      }
    };

    /** Schedules what happens to the leader during the outage. */
    void duringOutage(SimulatedCluster cluster, String leader, WorkerTimesCase times) {}

    /** Whether the intended situation occurred. */
    boolean tookEffect(SimulatedCluster cluster) {
      return true;
    }

    /** Injects faults between the confirmations and the outage. */
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
          (long) (workers.cancelDeadlineMicros() * (cluster.scheduler.chance(0.2) ? 0.6 : 1.3));
      cluster.store.outage(outageMicros);
      scenario.leaderFate().duringOutage(cluster, leader, scenario.times());
      cluster.runUntil(cluster.scheduler.nowMicros + outageMicros);
      answeredInOutage += answeredHeartbeats(cluster) - answeredBefore;
      cluster.runUntil(cluster.scheduler.nowMicros + 20 * SECOND);
    }
    assertTrue(
        runningCancelledTasks > 0,
        "no task of a cancelled job was running when the outage began, " + scenario);
    // Without delegation no controller holds a grant, and a leader that has not read the stored
    // state answers no heartbeats.
    assertTrue(
        answeredInOutage > 0
            || (scenario.leaderFate() == LeaderFate.SUCCESSOR_CANNOT_READ
                && !scenario.delegation()),
        "no heartbeat was answered after the confirmations, " + scenario);
    assertTrue(
        scenario.leaderFate().tookEffect(cluster) || !scenario.delegation(),
        "the intended situation did not occur, " + scenario);
    cluster.runUntil(cluster.scheduler.nowMicros + 2 * workers.cancelDeadlineMicros());
    cluster.assertNoViolations(scenario);
    assertTrue(
        cluster.invariants.slowestCancellationMicros <= workers.cancelDeadlineMicros(),
        cluster.invariants.slowestCancellationMicros / 1e6 + " s, " + scenario);
    cluster.users.pollAllJobs();
    cluster.runUntil(cluster.scheduler.nowMicros + 120 * SECOND);
    cluster.invariants.checkAtEnd();
    cluster.assertNoViolations(scenario);
  }

  /**
   * Guards against replies that renew a lease without stopping unknown tasks: a reply to an
   * outdated heartbeat renews the lease too, so it must contain the stop commands.
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
