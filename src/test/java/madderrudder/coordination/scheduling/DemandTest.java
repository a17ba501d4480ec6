package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.estimates.TaskRun;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import org.junit.jupiter.api.Test;

/** The order in which waiting jobs get capacity. */
class DemandTest extends PlanningFixture {
  /**
   * While gangs came several times as often, bulk work within guarantees took all capacity before
   * gangs beyond.
   */
  @Test
  void aPromptGangComesBeforeLowerWorkWithinGuarantees() {
    Cluster hasty =
        cluster(new ServiceLevelObjectives(Map.of("class", SECOND), Map.of(), Map.of()));
    for (Cluster each : List.of(cluster, hasty)) {
      Job bulk = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 1, 4, false);
      Job gang = job("req-2", "alto", JobKind.GANG, Priority.HIGH, 3, 4, false);
      each.jobs.put("req-1", bulk);
      each.jobs.put("req-2", gang);
      assertEquals(Set.of(bulk), Demand.of(each, 0).guaranteed());
      assertEquals(each == hasty ? gang : bulk, Demand.of(each, 0).waiting().get(0));
    }
  }

  /** With too much to do, going by deadlines alone once made everything late in turn. */
  @Test
  void jobsThatCanStillBeInTimeComeBeforeLateOnes() {
    Cluster wanted =
        cluster(
            new ServiceLevelObjectives(
                Map.of(), Map.of("class", List.of(60 * SECOND, 90 * SECOND)), Map.of()));
    // Both take 30 s, and were accepted at 0 s and 1 us; the first is due at 60 s and can't make it
    // any more.
    for (String id : List.of("req-1", "req-2")) {
      Job job = job(id, "alto", JobKind.ARRAY, Priority.NORMAL, 40, 2, false);
      wanted.jobs.put(id, job);
    }
    Job late = wanted.jobs.get("req-1");
    Job fresh = wanted.jobs.get("req-2");
    assertEquals(List.of(late, fresh), Demand.of(wanted, 30 * SECOND).waiting());
    assertEquals(List.of(fresh, late), Demand.of(wanted, 30 * SECOND + 1).waiting());
    assertEquals(List.of(late, fresh), Demand.of(wanted, 200 * SECOND).waiting());
    // Tasks turn out to take half as long as estimated: the first can be in time after all.
    for (int i = 0; i < 200; i++) {
      wanted.runTimes.observe(
          new TaskRun(late.profile, i, i, "", "", late.spec.estimateMicros(), 15 * SECOND, true));
    }
    assertEquals(List.of(late, fresh), Demand.of(wanted, 30 * SECOND + 1).waiting());
  }

  /**
   * A job that cannot be in time comes last, and once did so for as long as others came that could.
   * It now moves ahead step by step of all others within no guarantee, and back to its place once
   * it has begun.
   */
  @Test
  void aStarvedJobMovesAheadUntilItHasBegun() {
    Machine there = machine("m-0", "east", true);
    Job large = job("req-1", "alto", JobKind.ARRAY, Priority.LOW, 400, 1, false);
    Job other = job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 100, 1, false);
    Job guaranteed = job("req-3", "canto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 89 * SECOND).waiting());
    other.done.set(0);
    assertEquals(List.of(guaranteed, large, other), Demand.of(cluster, 91 * SECOND).waiting());
    put(large, 0, there);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 91 * SECOND).waiting());
  }
}
