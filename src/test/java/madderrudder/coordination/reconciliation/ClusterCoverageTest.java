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

/**
 * Guards against a new leader that preempts tasks or rents machines for a job while the machines
 * that the job may use have not reported yet, and against one that waits for machines too long.
 */
class ClusterCoverageTest {
  private static final long SECOND = 1_000_000;
  private static final long REPORT_TIMEOUT = 8 * SECOND;
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

  /** Adds twenty machines that were up before the failover, of which some have reported since. */
  private void addZone(String zone, int reported) {
    for (int i = 0; i < 20; i++) {
      Machine machine = new Machine(zone + i, TYPE, zone, false, false, 0, 0);
      machine.inherited = true;
      // One further machine has sent only a heartbeat that may be a late copy from before this
      // leader's term, which does not count.
      machine.reported = i < reported + 1;
      machine.reportedInTerm = i < reported;
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

  /** A job waits for the machines in the zones that it may use, unless a zone is cut off. */
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
  void coverageSufficesOnceMachinesUsableByJobReport(
      int east, int west, boolean sufficesInEast, boolean sufficesAnywhere) {
    addZone("east", east);
    addZone("west", west);
    ClusterCoverage coverage = ClusterCoverage.of(cluster, SECOND, REPORT_TIMEOUT, 100 * SECOND);
    assertEquals(sufficesInEast, coverage.suffices(job("east")));
    assertEquals(sufficesAnywhere, coverage.suffices(job(null)));
    assertEquals((east + west) / 40.0, coverage.share());
  }

  @Test
  void coverageSufficesAfterReportTimeout() {
    addZone("east", 5);
    addZone("west", 5);
    Machine unreported = cluster.machines.get("west19");
    ClusterCoverage beforeTimeout =
        ClusterCoverage.of(cluster, REPORT_TIMEOUT, REPORT_TIMEOUT, 100 * SECOND);
    assertTrue(
        beforeTimeout.mayStillReport(unreported)
            && !beforeTimeout.isMissing(unreported)
            && !beforeTimeout.suffices());
    ClusterCoverage afterTimeout =
        ClusterCoverage.of(cluster, REPORT_TIMEOUT + 1, REPORT_TIMEOUT, 100 * SECOND);
    assertTrue(
        !afterTimeout.mayStillReport(unreported)
            && afterTimeout.isMissing(unreported)
            && afterTimeout.suffices()
            && afterTimeout.suffices(job(null)));
  }

  /**
   * A machine that may still be booting is not expected to report: 15 s after its rental, of a type
   * that boots in 10 s.
   */
  @Test
  void machinesThatMayBeBootingAreNotExpected() {
    addZone("east", 0);
    assertTrue(ClusterCoverage.of(cluster, 0, REPORT_TIMEOUT, 15 * SECOND).complete());
    assertEquals(0, ClusterCoverage.of(cluster, 0, REPORT_TIMEOUT, 21 * SECOND).share());
  }
}
