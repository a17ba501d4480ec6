package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Guards against machines that are requested without need, too early or beyond the budget, and
 * against capacity that is requested too late because silent machines or machines that fail to boot
 * still count.
 */
class ScaleOutPlannerTest extends PlanningFixture {
  @Test
  void countedMachinesAreOnDemandAndRequestedAfterTheThresholdWithinTheBudget() {
    Machine owned = addMachine("m-0", "east", true);
    addRunningTask(addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 4, false), 0, owned);
    addJob("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 3, 4, false);
    assertEquals(List.of(), scaleOut(19 * SECOND, 10));
    assertEquals(List.of(), scaleOut(21 * SECOND, 0));
    List<ScaleOutRequest> requested = scaleOut(21 * SECOND, 2);
    assertEquals(2, requested.stream().mapToInt(ScaleOutRequest::count).sum());
    assertTrue(requested.stream().allMatch(r -> r.countsAgainstBudget() && !r.spot()));
  }

  @Test
  void bootingMachinesCountAsCapacity() {
    Machine booting = addMachine("m-1", "east", false);
    booting.reported = false;
    addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    assertEquals(List.of(), scaleOut(SECOND, 10));
  }

  @Test
  void machinesForTasksThatFitNoOwnedMachineAreRequestedAtOnceAndNotCounted() {
    addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    List<ScaleOutRequest> requested = scaleOut(0, 0);
    assertEquals(1, requested.size());
    assertFalse(requested.get(0).countsAgainstBudget());
    assertTrue(requested.get(0).spot());
  }

  /**
   * Production that may not use spot machines starts at once only on other machines, in free
   * capacity or by preemption. On-demand machines are requested for other jobs until there is
   * enough headroom.
   */
  @Test
  void onDemandMachinesAreRequestedUntilProductionHasItsHeadroom() {
    OperatorPolicy policy =
        new OperatorPolicy(
            0,
            SECOND,
            100,
            300 * SECOND,
            SECOND,
            OperatorPolicy.SpotMode.ALWAYS,
            3 * SECOND,
            0.25,
            0.5,
            false,
            false);
    Cluster clusterWithObjectives =
        cluster(
            new ServiceLevelObjectives(
                Map.of("desk", SECOND), Map.of("class", List.of(100 * SECOND)), Map.of()));
    clusterWithObjectives.types = cluster.types;
    clusterWithObjectives.jobs.put(
        "req-1", addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 3, 4, false));
    assertTrue(
        ScaleOutPlanner.plan(
                clusterWithObjectives,
                policy,
                Demand.of(clusterWithObjectives, 0),
                SECOND,
                100,
                pool -> 50,
                List.of())
            .stream()
            .allMatch(ScaleOutRequest::spot));
    JobSpec deskSpec =
        new JobSpec(
            "req-2",
            "desk",
            "basso",
            JobKind.SERVICE,
            Priority.PRODUCTION,
            1,
            Resources.of(1, 0, 1),
            "img",
            1,
            null,
            null,
            false,
            false,
            false,
            0,
            0,
            0,
            0);
    Job service = new Job(deskSpec, teams.get("basso"), 1, 1, 0);
    clusterWithObjectives.jobs.put("req-2", service);
    for (String id : List.of("m-0", "m-1", "m-2", "m-3")) {
      Machine machine = new Machine(id, TYPE, "east", !id.equals("m-0"), false, 0, 0);
      machine.reported = true;
      clusterWithObjectives.add(machine);
    }
    clusterWithObjectives.addAssignment(
        new Assignment(
            new TaskId("req-2", 0),
            1,
            clusterWithObjectives.machines.get("m-0"),
            "basso",
            Resources.of(1, 0, 1),
            service,
            false,
            0));
    List<ScaleOutRequest> requested =
        ScaleOutPlanner.plan(
            clusterWithObjectives,
            policy,
            Demand.of(clusterWithObjectives, 0),
            SECOND,
            100,
            pool -> 50,
            List.of());
    // The headroom is a quarter of 16 processors, and production leaves 3 of the 4 non-spot
    // processors free, so one on-demand machine is requested.
    assertEquals(
        1,
        requested.stream()
            .filter(request -> !request.spot())
            .mapToInt(ScaleOutRequest::count)
            .sum());
    assertEquals(
        2, requested.stream().filter(ScaleOutRequest::spot).mapToInt(ScaleOutRequest::count).sum());
  }

  /**
   * Guards against replicas of a disconnected zone that stay missing for a boot after the leases of
   * their machines have expired.
   */
  @Test
  void replacementsForSilentMachinesWithProductionAreRequestedBeforeLeasesExpire() {
    Job service = addJob("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 2, 4, false);
    Machine silent = addMachine("m-0", "east", false);
    addRunningTask(service, 0, silent);
    addRunningTask(service, 1, addMachine("m-1", "east", false));
    addMachine("m-2", "east", false);
    long laterMicros = 10 * SECOND;
    cluster.machines.values().forEach(machine -> machine.lastHeartbeatAnsweredMicros = laterMicros);
    assertEquals(List.of(), scaleOut(laterMicros, 10));
    silent.lastHeartbeatAnsweredMicros = 0;
    List<ScaleOutRequest> requested = scaleOut(laterMicros, 10);
    assertEquals(1, requested.stream().mapToInt(ScaleOutRequest::count).sum());
    // Pending requests count as capacity, so no replacement is requested twice.
    assertEquals(
        List.of(),
        ScaleOutPlanner.plan(
            cluster, POLICY, Demand.of(cluster, 0), laterMicros, 10, pool -> 50, requested));
    // If most machines are silent, this controller is disconnected, and nothing is requested.
    cluster.machines.values().forEach(machine -> machine.lastHeartbeatAnsweredMicros = 0);
    assertEquals(List.of(), scaleOut(laterMicros, 10));
  }

  /**
   * A machine that takes far longer to boot than its type usually takes no longer counts as
   * capacity; its replacement does.
   */
  @Test
  void machineThatBootsFarTooLongDoesNotCountAsCapacity() {
    addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 3, false);
    Machine late = new Machine("m-0", TYPE, "east", false, false, 0, 0);
    cluster.add(late);
    assertEquals(List.of(), scaleOut(21 * SECOND, 10));
    assertEquals(1, scaleOut(30 * SECOND, 10).size());
    cluster.add(new Machine("m-1", TYPE, "east", false, false, 0, 30 * SECOND));
    assertEquals(List.of(), scaleOut(31 * SECOND, 10));
  }
}
