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

/** Which machines are rented. */
class ScaleOutPlannerTest extends PlanningFixture {
  @Test
  void countedMachinesAreSteadyAndRentedAfterTheThresholdWithinTheBudget() {
    Machine owned = machine("m-0", "east", true);
    put(job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 4, false), 0, owned);
    job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 3, 4, false);
    assertEquals(List.of(), scaleOut(19 * SECOND, 10));
    assertEquals(List.of(), scaleOut(21 * SECOND, 0));
    List<ScaleOutRequest> rented = scaleOut(21 * SECOND, 2);
    assertEquals(2, rented.stream().mapToInt(ScaleOutRequest::count).sum());
    assertTrue(rented.stream().allMatch(r -> r.counted() && !r.spot()));
  }

  @Test
  void bootingMachinesCountAsCapacity() {
    Machine booting = machine("m-1", "east", false);
    booting.reported = false;
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    assertEquals(List.of(), scaleOut(SECOND, 10));
  }

  @Test
  void machinesForTasksThatFitNoOwnedMachineAreRentedAtOnceAndNotCounted() {
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    List<ScaleOutRequest> rented = scaleOut(0, 0);
    assertEquals(1, rented.size());
    assertFalse(rented.get(0).counted());
    assertTrue(rented.get(0).spot());
  }

  /**
   * Production that may not use spot instances starts at once only on steady machines, in free
   * capacity or by preemption.
   */
  @Test
  void ordinaryWorkRentsSteadyMachinesUntilProductionHasItsHeadroom() {
    OperatorPolicy patient =
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
    Cluster hasty =
        cluster(
            new ServiceLevelObjectives(
                Map.of("desk", SECOND), Map.of("class", List.of(100 * SECOND)), Map.of()));
    hasty.types = cluster.types;
    hasty.jobs.put("req-1", job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 3, 4, false));
    assertTrue(
        ScaleOutPlanner.plan(
                hasty, patient, Demand.of(hasty, 0), SECOND, 100, pool -> 50, List.of())
            .stream()
            .allMatch(ScaleOutRequest::spot));
    JobSpec desk =
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
    Job service = new Job(desk, teams.get("basso"), 1, 1, 0);
    hasty.jobs.put("req-2", service);
    for (String id : List.of("m-0", "m-1", "m-2", "m-3")) {
      Machine machine = new Machine(id, TYPE, "east", !id.equals("m-0"), false, 0, 0);
      machine.reported = true;
      hasty.add(machine);
    }
    hasty.addAssignment(
        new Assignment(
            new TaskId("req-2", 0),
            1,
            hasty.machines.get("m-0"),
            "basso",
            Resources.of(1, 0, 1),
            service,
            false,
            0));
    List<ScaleOutRequest> rented =
        ScaleOutPlanner.plan(
            hasty, patient, Demand.of(hasty, 0), SECOND, 100, pool -> 50, List.of());
    // A quarter of 16 processors is wanted and 3 of the steady ones are free of production: one
    // more is rented.
    assertEquals(
        1, rented.stream().filter(rental -> !rental.spot()).mapToInt(ScaleOutRequest::count).sum());
    assertEquals(
        2, rented.stream().filter(ScaleOutRequest::spot).mapToInt(ScaleOutRequest::count).sum());
  }

  /** Replicas of a zone that was cut off were missing for a lease and then for a boot as well. */
  @Test
  void replacementsForSilentMachinesWithProductionBootBeforeTheirLeasesExpire() {
    Job service = job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 2, 4, false);
    Machine silent = machine("m-0", "east", false);
    put(service, 0, silent);
    put(service, 1, machine("m-1", "east", false));
    machine("m-2", "east", false);
    long later = 10 * SECOND;
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = later);
    assertEquals(List.of(), scaleOut(later, 10));
    silent.lastHeardMicros = 0;
    List<ScaleOutRequest> rented = scaleOut(later, 10);
    assertEquals(1, rented.stream().mapToInt(ScaleOutRequest::count).sum());
    // What is on its way counts as capacity, so that nothing is rented twice.
    assertEquals(
        List.of(),
        ScaleOutPlanner.plan(
            cluster, POLICY, Demand.of(cluster, 0), later, 10, pool -> 50, rented));
    // With most machines silent, this node is cut off, and renting would help nobody.
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 0);
    assertEquals(List.of(), scaleOut(later, 10));
  }

  /**
   * A machine that boots for far longer than its type takes no longer counts; its replacement does.
   */
  @Test
  void aBootThatIsFarTooLateIsNotCountedAsCapacity() {
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 3, false);
    Machine late = new Machine("m-0", TYPE, "east", false, false, 0, 0);
    cluster.add(late);
    assertEquals(List.of(), scaleOut(21 * SECOND, 10));
    assertEquals(1, scaleOut(30 * SECOND, 10).size());
    cluster.add(new Machine("m-1", TYPE, "east", false, false, 0, 30 * SECOND));
    assertEquals(List.of(), scaleOut(31 * SECOND, 10));
  }
}
