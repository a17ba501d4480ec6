package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against tasks lost when workers can't reach the leader, usually because their zone is
 * partitioned. With delegation, a controller that they reach renews their leases on behalf of the
 * leader, and also relays start commands if it reaches the leader.
 */
@Timeout(60)
class ZonePartitionTest {
  private static final long SECOND = SimulatedCluster.SECOND;

  /**
   * Whether the workers with tasks in the zone without the leader keep their leases through a
   * partition of that zone. The lease of a worker without tasks may expire.
   */
  private static boolean leasesOutliveZonePartition(long seed, boolean delegation) {
    SimulatedCluster cluster = Scenarios.clusterAfterOneMinute(seed, delegation);
    String zone = Scenarios.zoneWithoutLeader(cluster);
    Map<SimWorker, Long> epochs = cluster.epochsOfBusyWorkers(zone);
    assertTrue(epochs.size() > 1, "only " + epochs.size() + " machines have tasks, seed " + seed);
    cluster.partitionZone(zone, seed % 2 == 0, 40 * SECOND);
    boolean kept = true;
    for (int second = 61; second <= 100; second++) {
      List<SimWorker> busy =
          epochs.keySet().stream()
              .filter(worker -> cluster.invariants.tasksOn(worker) > 0)
              .toList();
      cluster.runUntil(second * SECOND);
      kept &=
          busy.stream()
              .allMatch(worker -> worker.isTerminated() || worker.epoch() == epochs.get(worker));
    }
    cluster.runUntil(160 * SECOND);
    cluster.assertNoViolations("zone partition, delegation " + delegation);
    return kept;
  }

  /**
   * Only the controller in the partitioned zone can answer the workers there, and its answers
   * contain no commands. With delegation, the leases last through a partition of twice their
   * duration.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  void leasesOutliveZonePartitionWithDelegationOnly(long seed) {
    assertTrue(
        leasesOutliveZonePartition(seed, true),
        "leases expired although a controller is in the zone, seed " + seed);
    assertFalse(
        leasesOutliveZonePartition(seed, false),
        "no lease expired without delegation, seed " + seed);
  }

  /** An additional fault, injected when the partition of the zone begins. */
  private enum AdditionalFault {
    /**
     * A delegate is paused for longer than its grant lasts, and then continues to answer
     * heartbeats.
     */
    PAUSED_DELEGATE {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.scheduler.after(
            8 * SECOND, () -> cluster.pause(zoneControllers.get(0), 55 * SECOND));
      }
    },
    /**
     * Controllers outside the zone confirm cancellations to users, and some tasks complete
     * meanwhile.
     */
    CANCELLATIONS {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.scheduler.after(2 * SECOND, cluster.users::cancelAll);
      }
    },
    /**
     * The controllers of the zone crash and restart with the same names before their grants expire.
     */
    RESTARTED_DELEGATES {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        zoneControllers.forEach(
            name -> cluster.scheduler.after(12 * SECOND, () -> cluster.crash(name, 2 * SECOND)));
      }
    },
    /**
     * The leader loses its lease and is elected again in a higher term, while grants of its earlier
     * term are still valid.
     */
    LEADER_REELECTED {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.network.partition(leader, "store", true, 8 * SECOND);
        cluster.controllerNames().stream()
            .filter(name -> !name.equals(leader))
            .forEach(name -> cluster.network.partition(name, "store", false, 20 * SECOND));
      }
    },
    /**
     * The controllers reach neither each other nor the store, while workers reach all controllers.
     * The zone is not partitioned.
     */
    ALL_CONTROLLERS_ISOLATED {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.partitionControllers(60 * SECOND);
        cluster
            .controllerNames()
            .forEach(name -> cluster.network.partition(name, "store", true, 45 * SECOND));
      }
    },
    /**
     * One controller after another is partitioned from the workers, which move between those that
     * answer.
     */
    MOVING_WORKERS {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        for (int i = 0; i < 10; i++) {
          String controller = cluster.controllerNames().get(i % 3);
          cluster.scheduler.after(
              4L * i * SECOND, () -> cluster.partitionFromWorkers(controller, true, 5 * SECOND));
        }
      }
    };

    abstract void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers);
  }

  static Stream<Arguments> additionalFaults() {
    return Arrays.stream(AdditionalFault.values())
        .flatMap(fault -> LongStream.rangeClosed(1, 4).mapToObj(seed -> Arguments.of(fault, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("additionalFaults")
  @Timeout(20)
  void zonePartitionWithAnotherFaultKeepsInvariants(AdditionalFault fault, long seed) {
    SimulatedCluster cluster = Scenarios.clusterAfterOneMinute(seed, true);
    String zone = Scenarios.zoneWithoutLeader(cluster);
    List<String> zoneControllers =
        cluster.controllerNames().stream()
            .filter(name -> cluster.zoneOf(name).equals(zone))
            .toList();
    if (fault != AdditionalFault.ALL_CONTROLLERS_ISOLATED) {
      cluster.partitionZone(zone, seed % 2 == 0, 70 * SECOND);
    }
    fault.inject(cluster, cluster.leader(), zoneControllers);
    int starts = cluster.invariants.starts;
    cluster.runUntil(200 * SECOND);
    cluster.assertNoViolations("zone partition with " + fault);
    assertTrue(
        fault == AdditionalFault.CANCELLATIONS || cluster.invariants.starts > starts,
        "no task was started after the fault, seed " + seed);
  }

  /**
   * Workers that can't reach the leader keep their leases and receive start commands through
   * controllers that reach it.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {2, 3, 4, 5})
  void workersCutOffFromLeaderGetStartsThroughOtherControllers(long seed) {
    SimulatedCluster cluster = Scenarios.clusterAfterOneMinute(seed, true);
    String zone = Scenarios.zoneWithoutLeader(cluster);
    String leader = cluster.leader();
    cluster.cloud.workers().stream()
        .filter(worker -> worker.zone.equals(zone))
        .forEach(
            worker -> cluster.network.partition(leader, worker.id, seed % 2 == 0, 60 * SECOND));
    Map<SimWorker, Long> epochs = cluster.epochsOfBusyWorkers(zone);
    cluster.runUntil(80 * SECOND);
    int startedBefore = epochs.keySet().stream().mapToInt(worker -> worker.starts).sum();
    cluster.runUntil(118 * SECOND);
    assertEquals(leader, cluster.leader(), "leader after the partition, seed " + seed);
    assertTrue(
        epochs.entrySet().stream()
            .allMatch(e -> e.getKey().isTerminated() || e.getKey().epoch() == e.getValue()),
        "a worker lease expired, seed " + seed);
    int startedAtEnd = epochs.keySet().stream().mapToInt(worker -> worker.starts).sum();
    assertTrue(startedAtEnd > startedBefore, "no task was started on these workers, seed " + seed);
    cluster.runUntil(160 * SECOND);
    cluster.assertNoViolations("workers partitioned from the leader");
  }
}
