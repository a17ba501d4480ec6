package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the rejection of jobs that can run, and the acceptance of jobs that never can. */
class JobAdmissionTest {
  private static final Map<String, TeamQuota> QUOTAS =
      Map.of("alto", new TeamQuota("alto", Resources.NONE, Resources.of(20, 0, 0)));
  private static final List<MachineType> MACHINE_TYPES =
      List.of(
          new MachineType("small", Resources.of(4, 0, 16), 30, 1, 1, 1, 1, List.of("east", "west")),
          new MachineType("big", Resources.of(16, 0, 64), 30, 1, 1, 1, 1, List.of("east")));

  /**
   * The protocol defines three reasons for a rejection. A service of which at most half may run in
   * one zone is therefore accepted even if only one zone is allowed; half of its tasks run then.
   */
  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        "alto, ARRAY, 5, 4, -, -, false, false, -",
        "nobody, ARRAY, 1, 4, -, -, false, false, unknown team",
        "alto, ARRAY, 1, 17, -, -, false, false, a task fits no allowed machine type",
        "alto, ARRAY, 1, 5, small, -, false, false, a task fits no allowed machine type",
        "alto, ARRAY, 1, 5, -, west, false, false, a task fits no allowed machine type",
        "alto, ARRAY, 1, 1, -, north, false, false, a task fits no allowed machine type",
        "alto, ARRAY, 1, 1, odd, -, false, false, a task fits no allowed machine type",
        "alto, GANG, 6, 4, -, -, false, false, more than the team's limit",
        "alto, SERVICE, 6, 4, -, -, false, true, more than the team's limit",
        "alto, ARRAY, 600, 4, -, -, false, true, -",
        "alto, GANG, 2, 4, -, -, false, true, -",
        "alto, GANG, 2, 4, -, -, true, true, -",
        "alto, SERVICE, 2, 4, -, east, false, true, -",
        "alto, SERVICE, 2, 5, -, -, false, true, -",
        "alto, SERVICE, 1, 5, -, east, true, true, -",
        "alto, ARRAY, 2, 4, -, east, true, true, -"
      })
  void rejectsOnlyJobsThatCanNeverRun(
      String team,
      JobKind kind,
      int tasks,
      double cpus,
      String type,
      String zone,
      boolean oneZone,
      boolean spread,
      String expectedReason) {
    JobSpec job =
        new JobSpec(
            "req-1",
            "sweep",
            team,
            kind,
            Priority.NORMAL,
            tasks,
            Resources.of(cpus, 0, cpus),
            "img",
            1,
            type == null ? null : Set.of(type),
            zone,
            oneZone,
            spread,
            true,
            0,
            0,
            0,
            0);
    assertEquals(
        expectedReason,
        JobAdmission.rejectionReason(job, QUOTAS, MACHINE_TYPES)
            .map(RejectionReason::text)
            .orElse(null));
  }
}
