package madderrudder.coordination.reconciliation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClusterCoverageTest {
  private static final long SECOND = 1_000_000;
  private static final long PATIENCE = 8 * SECOND;
  private static final MachineType TYPE =
      new MachineType(
          "small", Resources.of(4, 0, 16), 30, 1, 1, 0.5, 10 * SECOND, List.of("east", "west"));
  private final TeamQuota team = new TeamQuota("alto", Resources.NONE, Resources.of(100, 0, 0));
  private final Cluster cluster =
      new Cluster(
          new Deployment(
              List.of("east", "west"),
              Map.of("alto", team),
              new Deployment.WorkerTimes(4 * SECOND, 22 * SECOND, 0, 0, 50 * SECOND),
              new Deployment.StateLimits(100, 100, 16_384, 40),
              new Deployment.CloudLimits(1, SECOND),
              3,
              0,
              ServiceLevelObjectives.none()),
          new EstimatedRunTimes());

  /** Twenty machines in a zone that were up long ago, of which some have reported. */
  private void zone(String zone, int heard) {
    for (int i = 0; i < 20; i++) {
      Machine machine = new Machine(zone + i, TYPE, zone, false, false, 0, 0);
      machine.inherited = true;
      // A report that may be a late copy, from before this leader's term, is not enough.
      machine.reported = i < heard + 1;
      machine.reportedInTerm = i < heard;
      cluster.add(machine);
    }
  }

  private Job job(String zone) {
    return new Job(
        new JobSpec(
            "req-000001",
            "class",
            "alto",
            JobKind.ARRAY,
            Priority.NORMAL,
            1,
            Resources.of(1, 0, 1),
            "img",
            1,
            null,
            zone,
            false,
            false,
            false,
            SECOND,
            0,
            0,
            0),
        team,
        1,
        0,
        0);
  }

  /**
   * Decisions wait for what they depend on: the zones that a job may use, unless one is cut off.
   */
  @ParameterizedTest
  @CsvSource({
    "18,18,true,true",
    "17,20,false,true",
    "20,10,true,false",
    "5,5,false,false",
    "20,1,true,true",
    "1,17,false,false",
    "20,2,true,false"
  })
  void aJobWaitsForTheMachinesThatItMayUse(int east, int west, boolean inEast, boolean anywhere) {
    zone("east", east);
    zone("west", west);
    ClusterCoverage coverage = ClusterCoverage.of(cluster, SECOND, PATIENCE, 100 * SECOND);
    assertEquals(inEast, coverage.suffices(job("east")));
    assertEquals(anywhere, coverage.suffices(job(null)));
    assertEquals((east + west) / 40.0, coverage.share());
  }

  @Test
  void nobodyIsWaitedForBeyondTheirTime() {
    zone("east", 5);
    zone("west", 5);
    Machine unheard = cluster.machines.get("west19");
    ClusterCoverage early = ClusterCoverage.of(cluster, PATIENCE, PATIENCE, 100 * SECOND);
    assertTrue(early.awaits(unheard) && !early.misses(unheard) && !early.suffices());
    ClusterCoverage late = ClusterCoverage.of(cluster, PATIENCE + 1, PATIENCE, 100 * SECOND);
    assertTrue(
        !late.awaits(unheard)
            && late.misses(unheard)
            && late.suffices()
            && late.suffices(job(null)));
  }

  /**
   * What may be booting still is not expected: 15 s after its rental, of a type that boots in 10.
   */
  @Test
  void onlyWhatWasUpIsExpected() {
    zone("east", 0);
    assertTrue(ClusterCoverage.of(cluster, 0, PATIENCE, 15 * SECOND).complete());
    assertEquals(0, ClusterCoverage.of(cluster, 0, PATIENCE, 21 * SECOND).share());
  }
}
