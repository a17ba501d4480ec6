package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import org.junit.jupiter.api.Test;

/** Where waiting tasks are placed. */
class PlacerTest extends PlanningFixture {
  @Test
  void ownedMachinesTakeTasksAtOnceAndRentedOnesOnlyAfterTheThreshold() {
    Machine owned = machine("m-0", "east", true);
    Machine rented = machine("m-1", "east", false);
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 4, false);
    List<Placement> early = Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND);
    assertEquals(List.of(owned), early.stream().map(Placement::machine).toList());
    rented.lastHeardMicros = 21 * SECOND;
    owned.lastHeardMicros = 21 * SECOND;
    List<Placement> late = Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 21 * SECOND);
    assertEquals(Set.of(owned, rented), Set.copyOf(late.stream().map(Placement::machine).toList()));
  }

  @Test
  void teamLimitsAndZoneSpreadCountTasksThatMayBeThere() {
    Machine east = machine("m-0", "east", true);
    machine("m-1", "east", true);
    machine("m-2", "east", true);
    Job service = job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 3, 1, true);
    put(service, 0, east);
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
    cluster.jobs.clear();
    put(job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 1, 3, false), 0, east);
    job("req-3", "basso", JobKind.ARRAY, Priority.NORMAL, 9, 4, false);
    machine("m-3", "east", true);
    machine("m-4", "west", true);
    // 3 of 16 processors are in use; three tasks of 4 still fit under the limit, a fourth does not.
    assertEquals(3, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
  }

  /**
   * Where starts are wanted sooner than a machine boots, ordinary work leaves headroom to what is
   * urgent.
   */
  @Test
  void ordinaryWorkLeavesHeadroom() {
    // Twelve tasks are beyond the guarantee; what lies within one is exempt.
    Cluster hasty =
        cluster(new ServiceLevelObjectives(Map.of("class", SECOND), Map.of(), Map.of()));
    hasty.types = cluster.types;
    for (String id : List.of("m-0", "m-1")) {
      hasty.add(heardLater(machine(id, "east", true)));
    }
    Job ordinary = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 12, 2, false);
    hasty.jobs.put("req-1", ordinary);
    assertEquals(2, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), SECOND).size());
    assertEquals(4, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
    hasty.jobs.put("req-2", job("req-2", "basso", JobKind.ARRAY, Priority.HIGH, 4, 2, false));
    assertEquals(4, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), SECOND).size());
    hasty.jobs.remove("req-2");
    // Where nothing could be rented it once waited beside the headroom for ever; nobody is to do so
    // for
    // 90 s.
    assertEquals(2, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), 59 * SECOND).size());
    assertEquals(4, Placer.plan(hasty, POLICY, Demand.of(hasty, 0), 70 * SECOND).size());
  }

  /**
   * A machine on which tasks of two jobs failed is passed over, for less than the 90 s that nobody
   * is to wait beside free capacity.
   */
  @Test
  void aCordonedMachineIsPassedOverForAMinute() {
    Machine only = heardLater(machine("m-0", "east", true));
    job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false);
    only.recordFailure("req-7", SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 2 * SECOND).size());
    only.recordFailure("req-8", 2 * SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(0, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 61 * SECOND).size());
    assertEquals(1, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 63 * SECOND).size());
    only.recordFailure("req-9", 64 * SECOND, 120 * SECOND, 60 * SECOND);
    assertEquals(0, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 65 * SECOND).size());
  }

  /** Most replicas once sat on the largest machine, and were missing for a lease when it died. */
  @Test
  void replicasSpreadOverMachines() {
    Machine occupied = machine("m-0", "east", true);
    Machine other = machine("m-1", "east", true);
    put(job("req-1", "alto", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false), 0, occupied);
    put(job("req-2", "alto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false), 0, other);
    job("req-3", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false);
    assertEquals(
        List.of(other),
        Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
  }

  @Test
  void aGangIsPlacedWholeOrNotAtAll() {
    machine("m-0", "east", true);
    job("req-1", "alto", JobKind.GANG, Priority.NORMAL, 2, 3, false);
    assertEquals(List.of(), Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND));
    machine("m-1", "west", true);
    assertEquals(2, Placer.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND).size());
  }

  /**
   * Small tasks once refilled every machine that came free, and a gang of whole machines never
   * found enough.
   */
  @Test
  void freeMachinesAreReservedForAGangUntilItHasAllItNeeds() {
    Machine free = machine("m-0", "east", true);
    Machine partly = machine("m-1", "east", true);
    Job small = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 9, 1, false);
    Assignment going = put(small, 0, partly);
    Job gang = job("req-2", "alto", JobKind.GANG, Priority.HIGH, 2, 4, false);
    // Until the other machine is being emptied for it, the gang lacks one; the free one is
    // reserved.
    assertEquals(
        List.of(partly, partly, partly),
        Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
    going.evicting = true;
    assertEquals(List.of(), Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.release(going, SECOND);
    List<Placement> placed = Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND);
    assertEquals(
        Set.of(free, partly), Set.copyOf(placed.stream().map(Placement::machine).toList()));
    assertTrue(placed.stream().allMatch(placement -> placement.job() == gang));
  }

  /**
   * Capacity that comes free by itself is reserved for a gang, as capacity freed by preemption is.
   */
  @Test
  void capacityThatComesFreeIsReservedForAGang() {
    Set<Assignment> ending = new HashSet<>();
    Cluster known = cluster(ServiceLevelObjectives.none(), new KnownRunTimes(ending));
    Machine free = machine("m-0", "east", true);
    Machine freeing = machine("m-1", "east", true);
    known.add(free);
    known.add(freeing);
    Job old = job("req-1", "alto", JobKind.ARRAY, Priority.LOW, 1, 3, false);
    Assignment last = put(old, 0, freeing);
    Job gang = job("req-2", "canto", JobKind.GANG, Priority.HIGH, 2, 3, false);
    Job small = job("req-3", "basso", JobKind.ARRAY, Priority.LOW, 1, 1, false);
    List.of(old, gang, small).forEach(job -> known.jobs.put(job.spec.id(), job));
    assertEquals(
        List.of(freeing),
        Placer.plan(known, POLICY, Demand.of(known, 0), SECOND).stream()
            .map(Placement::machine)
            .toList());
    ending.add(last);
    assertEquals(List.of(), Placer.plan(known, POLICY, Demand.of(known, 0), SECOND));
  }

  /** One that no machines there could hold, even empty, must not hold up what can run. */
  @Test
  void nothingIsReservedForAGangThatFitsOnNoMachines() {
    machine("m-0", "east", true);
    job("req-1", "alto", JobKind.GANG, Priority.HIGH, 2, 4, false);
    Job small = job("req-2", "basso", JobKind.ARRAY, Priority.LOW, 4, 1, false);
    assertTrue(
        Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).stream()
            .allMatch(placement -> placement.job() == small));
    assertEquals(4, Placer.plan(cluster, at(0), Demand.of(cluster, 0), SECOND).size());
  }
}
