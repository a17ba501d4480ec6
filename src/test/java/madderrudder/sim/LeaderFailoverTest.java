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

/**
 * Leaders that crash, are partitioned or are replaced. Guards against successors that run tasks
 * twice or end tasks because of outdated information.
 */
@Timeout(60)
class LeaderFailoverTest {
  private static final long SECOND = SimulatedCluster.SECOND;

  /**
   * Guards against a leader that no worker can reach and that keeps its leadership until all worker
   * leases have expired.
   */
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
        "no other controller became leader");
    cluster.runUntil(130 * SECOND);
    cluster.assertNoViolations("leader unreachable by workers");
  }

  /**
   * Guards against tasks that run twice: heartbeats from two epochs, delayed until after a
   * failover, made the new leader consider the tasks lost that its predecessor had started in the
   * later epoch. A delayed report that a task has ended must have no effect either, since the
   * worker may meanwhile have been commanded to start the same attempt again.
   */
  @ParameterizedTest(name = "seed {0}, tasks failed {1}")
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
        "only "
            + cluster.invariants.tasksOn(busiest)
            + " tasks on the busiest machine, seed "
            + seed);
    String crashedLeader = cluster.leader();
    cluster.crash(crashedLeader, 30 * SECOND);
    cluster
        .controllerNames()
        .forEach(name -> cluster.network.partition(name, busiest.id, false, 9 * SECOND));
    cluster.runUntil(49 * SECOND);
    assertNotEquals(crashedLeader, cluster.leader(), "new leader, seed " + seed);
    for (int epoch = 0; epoch < 2; epoch++) {
      cluster.deliverLateHeartbeat(
          cluster.leader(), busiest, tasksFailed ? busiest.epoch() : epoch, epoch, tasksFailed);
      cluster.runUntil((50 + epoch) * SECOND);
    }
    cluster.runUntil(70 * SECOND);
    cluster.assertNoViolations("late heartbeats, tasks failed " + tasksFailed);
  }

  /**
   * Guards against lost tasks when the leader crashes in a store outage: no successor can be
   * elected, and the leader's delegates renew worker leases within their grants.
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
        "a worker lease expired, seed " + seed);
    cluster.runUntil(160 * SECOND);
    cluster.assertNoViolations("leader crashed in a store outage");
  }

  /**
   * Guards against tasks that run twice. A new leader may place tasks elsewhere once every other
   * controller has acknowledged its term and no longer answers heartbeats for an earlier one. A
   * delegate that acknowledges the term and crashes may restart without knowledge of it, and
   * receive a grant from the old leader: it then renews leases of workers whose tasks have been
   * placed elsewhere.
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
    // While a cancelled job has tasks on unreachable workers, the next leader issues no grants and
    // has none to wait for.
    cluster.users.cancelRunning(1);
    while (!cluster.isLeader(nextLeader) && cluster.scheduler.nowMicros < 68 * SECOND) {
      cluster.runUntil(cluster.scheduler.nowMicros + SECOND / 10);
    }
    assertTrue(cluster.isLeader(nextLeader), "the next leader was not elected, seed " + seed);
    cluster.runUntil(cluster.scheduler.nowMicros + SECOND);
    cluster.network.partition(delegate, nextLeader, false, 60 * SECOND);
    cluster.crash(delegate, SECOND / 2);
    // The restarted delegate receives messages of the old leader only, until the old leader
    // receives the new term.
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
        "the restarted delegate renewed no worker lease, seed " + seed);
    cluster.assertNoViolations("restarted delegate, before its workers are reached again");
    cluster.runUntil(300 * SECOND);
    cluster.assertNoViolations("restarted delegate");
  }

  /**
   * Guards against a controller that can't redirect workers during a store outage: it starts in the
   * outage, and must learn from its peers which controller is the leader, even if it has already
   * received the term in heartbeats of workers.
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
