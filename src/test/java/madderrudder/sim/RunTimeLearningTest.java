package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.persistence.Keys;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against learned run times that are lost at a failover, written by a replaced leader, or
 * that take a large share of the store's write rate.
 */
@Timeout(60)
class RunTimeLearningTest {
  private static final long SECOND = SimulatedCluster.SECOND;

  private static SimulatedCluster clusterWithLearning(long seed, SimulatedCluster.Size size) {
    OperatorPolicy policy = SimPolicies.largeCluster(600, true);
    SimulatedCluster cluster = new SimulatedCluster(seed, policy, size);
    cluster.users.submitRandomJobs(2_000_000, 200 * SECOND);
    return cluster;
  }

  private static JsonFields runTimeMetrics(SimulatedCluster cluster)
      throws MalformedMessageException {
    return cluster.query(cluster.leader(), "/metrics").object("run_times");
  }

  private static long learnedSweepRuns(SimulatedCluster cluster) throws MalformedMessageException {
    JsonFields classes = runTimeMetrics(cluster).object("ratio_to_guess");
    return classes.has("sweep") ? classes.object("sweep").count("runs") : 0;
  }

  private static void failOver(SimulatedCluster cluster, long untilSecond) {
    String before = cluster.leader();
    cluster.crash(before, 60 * SECOND);
    cluster.runUntil(untilSecond * SECOND);
    assertNotEquals(before, cluster.leader());
  }

  @Test
  void newLeaderLoadsRunTimesOfEarlierLeaders() throws MalformedMessageException {
    SimulatedCluster cluster = clusterWithLearning(2, SimulatedCluster.Size.SMALL);
    cluster.runUntil(120 * SECOND);
    assertTrue(
        learnedSweepRuns(cluster) >= 8, "only " + learnedSweepRuns(cluster) + " runs learned");
    long kinds = runTimeMetrics(cluster).count("kinds");
    failOver(cluster, 128);
    JsonFields after = runTimeMetrics(cluster);
    assertTrue(
        after.count("learned") < 8, "the new leader has itself learned " + after.count("learned"));
    assertTrue(
        learnedSweepRuns(cluster) >= 8,
        "only " + learnedSweepRuns(cluster) + " runs loaded after the failover");
    assertTrue(after.count("kinds") >= kinds / 2, after.count("kinds") + " kinds of " + kinds);
    cluster.assertNoViolations("failover");
  }

  /**
   * Guards against stored run times that can't be read and make every failover fail: the new leader
   * must ignore them and start learning from scratch.
   */
  @ParameterizedTest(name = "{0}")
  @ValueSource(
      strings = {
        "{}",
        "{\"d\":7}",
        "{\"d\":\"\"}",
        "{\"d\":\"AgAAAAAAAAAA\"}",
        "{\"d\":\"no base64!\"}",
        "{\"d\":\"AQAAAAAAAAAAeJwDAAAAAAE=\"}"
      })
  void unreadableRunTimesAreIgnoredAtFailover(String value) throws MalformedMessageException {
    SimulatedCluster cluster = clusterWithLearning(2, SimulatedCluster.Size.SMALL);
    cluster.runUntil(100 * SECOND);
    String before = cluster.leader();
    cluster.crash(before, 200 * SECOND);
    assertTrue(
        cluster.store.corrupt(Keys.RUN_TIMES, value.getBytes(StandardCharsets.UTF_8)) > 0,
        "no run times to damage");
    cluster.runUntil(110 * SECOND);
    assertNotEquals(before, cluster.leader());
    int starts = cluster.invariants.starts;
    cluster.runUntil(200 * SECOND);
    assertTrue(cluster.invariants.starts > starts, "no task was started after the failover");
    assertTrue(
        runTimeMetrics(cluster).count("learned") > 0, "no run time was learned after the failover");
    cluster.assertNoViolations("unreadable run times");
  }

  /**
   * Guards against run times written by a replaced leader: after a pause longer than its lease, it
   * continues with its pending work, which may be a write of run times.
   */
  @Test
  void replacedLeaderWritesNoRunTimes() {
    SimulatedCluster cluster = clusterWithLearning(3, SimulatedCluster.Size.SMALL);
    for (int round = 0; round < 4; round++) {
      cluster.runUntil((50 + 35 * round) * SECOND);
      String before = cluster.leader();
      cluster.pause(before, 12 * SECOND);
      cluster.runUntil((60 + 35 * round) * SECOND);
      assertNotEquals(before, cluster.leader());
    }
    cluster.runUntil(200 * SECOND);
    assertTrue(
        cluster.store.runTimeWrites > 5,
        "only " + cluster.store.runTimeWrites + " values were written");
    cluster.assertNoViolations("paused leaders");
  }

  /** With about 400 machines, at most 1 % of all writes are writes of run times. */
  @Test
  void runTimesTakeAtMostOnePercentOfWrites() throws MalformedMessageException {
    SimulatedCluster cluster = clusterWithLearning(4, SimulatedCluster.Size.LARGE);
    cluster.runUntil(60 * SECOND);
    long written = cluster.store.writesApplied;
    long runTimes = cluster.store.runTimeWrites;
    cluster.runUntil(110 * SECOND);
    written = cluster.store.writesApplied - written;
    runTimes = cluster.store.runTimeWrites - runTimes;
    assertTrue(runTimes >= 3, "only " + runTimes + " values were written");
    assertTrue(
        100 * runTimes <= written, runTimes + " of " + written + " writes were of run times");
    assertTrue(
        runTimeMetrics(cluster).count("learned") > 500,
        "only " + runTimeMetrics(cluster).count("learned") + " runs learned");
  }

  /** Operators read the history of runs page by page. */
  @Test
  void historyOfRunsIsServedInPages() throws MalformedMessageException {
    SimulatedCluster cluster = clusterWithLearning(5, SimulatedCluster.Size.LARGE);
    cluster.runUntil(90 * SECOND);
    long next = 0;
    int runs = 0;
    while (true) {
      JsonFields page = cluster.query(cluster.leader(), "/history/" + next);
      assertEquals(0, page.count("missed"));
      if (page.objects("runs").isEmpty()) {
        break;
      }
      runs += page.objects("runs").size();
      assertEquals(runs, page.count("next"));
      next = page.count("next");
    }
    assertTrue(runs > 500, "only " + runs + " runs");
    String follower =
        cluster.controllerNames().stream()
            .filter(name -> !cluster.isLeader(name))
            .findFirst()
            .orElseThrow();
    assertTrue(cluster.query(follower, "/history/0").text("error").contains(cluster.leader()));
  }
}
