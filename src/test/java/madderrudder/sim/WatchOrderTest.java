package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Priority;
import madderrudder.sim.SimStore.EventOrder;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a state that depends on the order in which the store lists the changes of a watch:
 * a deletion that was listed before the submission of its job got lost, and the cancelled job ran.
 */
@Timeout(60)
class WatchOrderTest {
  private static final long SECOND = SimulatedCluster.SECOND;
  private static final int JOBS = 8;

  private static SimulatedCluster idleCluster(long seed, EventOrder order) {
    SimulatedCluster cluster =
        new SimulatedCluster(seed, SimPolicies.smallCluster(20, true, false));
    cluster.store.setEventOrder(order);
    cluster.users.retryUnknownCancellations();
    cluster.runUntil(20 * SECOND);
    return cluster;
  }

  private static void submitAndCancelServices(SimulatedCluster cluster) {
    for (int i = 0; i < JOBS; i++) {
      String id = "req-10000" + i;
      cluster.users.submitJob(
          JobSpecBuilder.job(id, "desk")
              .kind(JobKind.SERVICE)
              .priority(Priority.PRODUCTION)
              .tasks(2)
              .build());
      cluster.scheduler.after(SECOND / 10, () -> cluster.users.cancel(id));
    }
  }

  static Stream<Arguments> ordersAndSeeds() {
    return Arrays.stream(EventOrder.values())
        .flatMap(order -> LongStream.rangeClosed(1, 4).mapToObj(seed -> Arguments.of(order, seed)));
  }

  /** The leader reads submissions and cancellations in one response, after a pause. */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("ordersAndSeeds")
  void jobsCancelledAtOnceDoNotRun(EventOrder order, long seed) {
    SimulatedCluster cluster = idleCluster(seed, order);
    String leader = cluster.leader();
    cluster.pause(leader, 2 * SECOND);
    submitAndCancelServices(cluster);
    cluster.runUntil(80 * SECOND);
    cluster.assertNoViolations(order);
    assertEquals(leader, cluster.leader(), "leader after the pause, seed " + seed);
    assertEquals(Set.of(), cluster.invariants.heldTasks(), "tasks of cancelled jobs");
    assertEquals(0, cluster.metric(leader, "jobs"), "jobs that the leader takes for live");
  }

  /** A follower reads the end of one leader's lease and the next leader's claim in one response. */
  @ParameterizedTest
  @EnumSource(EventOrder.class)
  void followerKnowsLeaderAfterMissingItsElection(EventOrder order)
      throws MalformedMessageException {
    SimulatedCluster cluster = idleCluster(1, order);
    String crashed = cluster.leader();
    List<String> followers =
        cluster.controllerNames().stream().filter(name -> !name.equals(crashed)).toList();
    String refused = followers.get(0);
    cluster.store.refuse(refused, 8 * SECOND);
    cluster.crash(crashed, 40 * SECOND);
    cluster.runUntil(35 * SECOND);
    String leader = cluster.leader();
    assertNotEquals(crashed, leader);
    assertEquals(followers.get(1), leader);
    assertEquals(leader, cluster.query(refused, "/metrics").text("leader"));
    cluster.assertNoViolations(order);
  }
}
