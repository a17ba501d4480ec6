package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders that crash, are cut off or are replaced, and what their successors must not do. */
@Timeout(60)
class LeaderFailoverTest {
  private static final long SECOND = SimulatedCluster.SECOND;

  /** A leader that no worker could reach once kept leading until all leases had expired. */
  @Test
  void leaderUnreachableByWorkersIsReplaced() {
    SimulatedCluster cluster = Scenarios.smallCluster(2);
    cluster.runUntil(60 * SECOND);
    String unreachable = cluster.leader();
    cluster.partitionFromWorkers(unreachable, true, 60 * SECOND);
    cluster.runUntil(68 * SECOND);
    assertTrue(
        cluster.controllerNames().stream()
            .anyMatch(name -> cluster.isLeader(name) && !name.equals(unreachable)),
        "no other controller leads");
    cluster.runUntil(130 * SECOND);
    cluster.assertNoViolations("leader unreached by workers");
  }

  /**
   * Heartbeats of two epochs, delayed until another led, once made it take for lost what the leader
   * before had started in the later epoch: a seed of the random faults had those tasks run twice.
   * Nor may a late report of a task's exit end anything: its worker may have been told since to
   * start the same attempt again.
   */
  @ParameterizedTest(name = "seed {0}, exits {1}")
  @CsvSource({"1,false", "2,false", "3,false", "4,false", "1,true", "2,true"})
  void lateHeartbeatsDoNotEndTasksOfEarlierLeader(long seed, boolean tasksFailed) {
    SimulatedCluster cluster = Scenarios.smallCluster(seed);
    cluster.runUntil(45 * SECOND);
    SimWorker busiest =
        cluster.cloud.workers().stream()
            .max(Comparator.comparingLong(cluster.invariants::tasksOn))
            .orElseThrow();
    assertTrue(
        cluster.invariants.tasksOn(busiest) > 2,
        "only " + cluster.invariants.tasksOn(busiest) + " tasks to lose, seed " + seed);
    String crashedLeader = cluster.leader();
    cluster.crash(crashedLeader, 30 * SECOND);
    cluster
        .controllerNames()
        .forEach(name -> cluster.network.partition(name, busiest.id, false, 9 * SECOND));
    cluster.runUntil(49 * SECOND);
    assertNotEquals(crashedLeader, cluster.leader(), "leader, seed " + seed);
    for (int epoch = 0; epoch < 2; epoch++) {
      cluster.deliverLateHeartbeat(
          cluster.leader(), busiest, tasksFailed ? busiest.epoch() : epoch, epoch, tasksFailed);
      cluster.runUntil((50 + epoch) * SECOND);
    }
    cluster.runUntil(70 * SECOND);
    cluster.assertNoViolations("late heartbeats, exits " + tasksFailed);
  }

  /**
   * While nobody can be elected, and the leader has crashed, workers keep their tasks within the
   * grants.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 4, 5})
  void leasesAreRenewedAfterLeaderCrashInStoreOutage(long seed) {
    SimulatedCluster cluster = Scenarios.clusterAfterOneMinute(seed, true);
    Map<SimWorker, Long> epochs = cluster.epochsOfBusyWorkers("east");
    epochs.putAll(cluster.epochsOfBusyWorkers("west"));
    cluster.store.outage(40 * SECOND);
    cluster.runUntil(62 * SECOND);
    cluster.crash(cluster.leader(), 60 * SECOND);
    cluster.runUntil(100 * SECOND);
    assertTrue(epochs.size() > 3, "only " + epochs.size() + " machines have tasks, seed " + seed);
    assertTrue(
        epochs.entrySet().stream()
            .allMatch(e -> e.getKey().isTerminated() || e.getKey().epoch() == e.getValue()),
        "a lease expired, seed " + seed);
    cluster.runUntil(160 * SECOND);
    cluster.assertNoViolations("leader crashed in a store outage");
  }

  /**
   * Once all other controllers know of a new term, none answers for an earlier one. One that has
   * confirmed this and crashes at once may be followed by a process that does not know it, and gets
   * a grant of the old leader. Its workers' tasks were placed elsewhere.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  void restartedDelegateWithOutdatedTermKeepsInvariants(long seed) {
    SimulatedCluster cluster =
        Scenarios.clusterAfterOneMinute(seed, true, 30 * SECOND, 90 * SECOND);
    String oldLeader = cluster.leader();
    List<String> others =
        cluster.controllerNames().stream().filter(name -> !name.equals(oldLeader)).toList();
    String delegate = others.get(0);
    String nextLeader = others.get(1);
    cluster.store.refuse(oldLeader, 40 * SECOND);
    cluster.store.refuse(delegate, 60 * SECOND);
    cluster.network.partition(oldLeader, nextLeader, false, 7_500_000);
    cluster.network.partition(oldLeader, delegate, false, 5_500_000);
    List<SimWorker> isolatedWorkers =
        cluster.cloud.workers().stream()
            .filter(worker -> cluster.invariants.tasksOn(worker) > 0)
            .toList();
    isolatedWorkers.forEach(
        worker ->
            List.of(oldLeader, nextLeader)
                .forEach(name -> cluster.network.partition(name, worker.id, false, 60 * SECOND)));
    // While such a job has tasks on workers that nobody hears of, the next leader grants nothing,
    // and waits for no grant of its own.
    cluster.users.cancelRunning(1);
    while (!cluster.isLeader(nextLeader) && cluster.scheduler.nowMicros < 68 * SECOND) {
      cluster.runUntil(cluster.scheduler.nowMicros + SECOND / 10);
    }
    assertTrue(cluster.isLeader(nextLeader), "the next leader was not elected, seed " + seed);
    cluster.runUntil(cluster.scheduler.nowMicros + SECOND);
    cluster.network.partition(delegate, nextLeader, false, 60 * SECOND);
    cluster.crash(delegate, SECOND / 2);
    // It hears the old leader alone, until that one hears of the new term.
    cluster.runUntil(67_400_000);
    cluster.network.partition(oldLeader, delegate, false, 60 * SECOND);
    cluster.runUntil(120 * SECOND);
    assertTrue(
        isolatedWorkers.stream()
            .anyMatch(
                worker ->
                    !worker.isTerminated()
                        && worker.answeredHeartbeats > 0
                        && !worker.leaseExpired()),
        "no worker was kept by the new process, seed " + seed);
    cluster.assertNoViolations("restarted delegate, before its workers are reached again");
    cluster.runUntil(300 * SECOND);
    cluster.assertNoViolations("restarted delegate");
  }

  /**
   * A controller that starts in a store outage learns from the others who leads, though workers
   * have told it of the term before: it once sent workers nowhere until the store was back.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3})
  void controllerStartedInStoreOutageLearnsLeader(long seed) throws MalformedMessageException {
    SimulatedCluster cluster = Scenarios.clusterAfterOneMinute(seed, true);
    String leader = cluster.leader();
    String restarted =
        cluster.controllerNames().stream()
            .filter(name -> !name.equals(leader))
            .findFirst()
            .orElseThrow();
    cluster.store.outage(20 * SECOND);
    cluster.crash(restarted, SECOND / 5);
    cluster.scheduler.after(
        SECOND / 5 + 1_000,
        () ->
            cluster
                .cloud
                .workers()
                .forEach(
                    worker ->
                        cluster.deliverLateHeartbeat(restarted, worker, worker.epoch(), 0, false)));
    cluster.runUntil(63 * SECOND);
    assertEquals(leader, cluster.query(restarted, "/metrics").text("leader"), "seed " + seed);
    cluster.runUntil(120 * SECOND);
    cluster.assertNoViolations("controller started in a store outage");
  }
}
