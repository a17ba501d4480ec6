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
 * Workers that can't reach the leader, most of them in a zone that is partitioned from all others:
 * with delegation a controller on their side renews their leases for the leader, and passes starts
 * on where it reaches the leader.
 */
@Timeout(60)
class ZonePartitionTest {
  private static final long SECOND = SimulatedCluster.SECOND;

  /**
   * Whether the workers of the leader's other zone that have tasks keep them through a partition of
   * the zone. One that has none any more is free to lose its lease.
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
   * A zone's controller answers its workers, with no command, while nobody else can: their leases
   * last twice as long.
   */
  @ParameterizedTest(name = "seed {0}")
  @ValueSource(longs = {1, 2, 3, 4})
  void leasesOutliveZonePartitionWithDelegationOnly(long seed) {
    assertTrue(
        leasesOutliveZonePartition(seed, true),
        "leases expired though a controller is in the zone, seed " + seed);
    assertFalse(
        leasesOutliveZonePartition(seed, false), "leases last without delegation, seed " + seed);
  }

  /** What goes wrong beside the partition of a zone, from its beginning on. */
  private enum AdditionalFault {
    /** A delegate is paused for longer than its grant, and then goes on answering. */
    PAUSED_DELEGATE {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.scheduler.after(
            8 * SECOND, () -> cluster.pause(zoneControllers.get(0), 55 * SECOND));
      }
    },
    /** Users are told of cancellations by others, and some tasks end by themselves. */
    CANCELLATIONS {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.scheduler.after(2 * SECOND, cluster.users::cancelAll);
      }
    },
    /** Controllers of the zone crash, and are back under the same name within their grant. */
    RESTARTED_DELEGATES {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        zoneControllers.forEach(
            name -> cluster.scheduler.after(12 * SECOND, () -> cluster.crash(name, 2 * SECOND)));
      }
    },
    /** The leader loses its lease, and leads again in a higher term, its first grants still out. */
    LEADER_REELECTED {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.network.partition(leader, "store", true, 8 * SECOND);
        cluster.controllerNames().stream()
            .filter(name -> !name.equals(leader))
            .forEach(name -> cluster.network.partition(name, "store", false, 20 * SECOND));
      }
    },
    /** No controller reaches another or the store, while workers reach all; no zone partition. */
    ALL_CONTROLLERS_ISOLATED {
      @Override
      void inject(SimulatedCluster cluster, String leader, List<String> zoneControllers) {
        cluster.partitionControllers(60 * SECOND);
        cluster
            .controllerNames()
            .forEach(name -> cluster.network.partition(name, "store", true, 45 * SECOND));
      }
    },
    /** Workers lose one way after the other, and move between the controllers that answer. */
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
    cluster.assertNoViolations("zone partition beside " + fault);
    assertTrue(
        fault == AdditionalFault.CANCELLATIONS || cluster.invariants.starts > starts,
        "nothing starts any more, seed " + seed);
  }

  /**
   * Workers that can't reach the leader are served through controllers that can: they get starts
   * too.
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
    assertEquals(leader, cluster.leader(), "leader, seed " + seed);
    assertTrue(
        epochs.entrySet().stream()
            .allMatch(e -> e.getKey().isTerminated() || e.getKey().epoch() == e.getValue()),
        "a lease expired, seed " + seed);
    int startedAtEnd = epochs.keySet().stream().mapToInt(worker -> worker.starts).sum();
    assertTrue(startedAtEnd > startedBefore, "nothing started there, seed " + seed);
    cluster.runUntil(160 * SECOND);
    cluster.assertNoViolations("workers without a way to the leader");
  }
}
