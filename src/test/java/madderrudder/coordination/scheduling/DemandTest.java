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

/**
 * Guards against an order of the waiting jobs in which some of them never get capacity, or in which
 * all of them miss their deadlines in turn under overload.
 */
class DemandTest extends PlanningFixture {
  /**
   * Guards against gangs outside their team's guarantee that never start: when gangs arrived
   * several times as often as usual, bulk jobs within guarantees took all capacity first.
   */
  @Test
  void promptGangPrecedesLowerPriorityJobsWithinGuarantees() {
    Cluster clusterWithWaitObjective =
        cluster(new ServiceLevelObjectives(Map.of("class", SECOND), Map.of(), Map.of()));
    for (Cluster tested : List.of(cluster, clusterWithWaitObjective)) {
      Job bulk = addJob("req-1", "basso", JobKind.ARRAY, Priority.LOW, 1, 4, false);
      Job gang = addJob("req-2", "alto", JobKind.GANG, Priority.HIGH, 3, 4, false);
      tested.jobs.put("req-1", bulk);
      tested.jobs.put("req-2", gang);
      assertEquals(Set.of(bulk), Demand.of(tested, 0).guaranteed());
      assertEquals(
          tested == clusterWithWaitObjective ? gang : bulk, Demand.of(tested, 0).waiting().get(0));
    }
  }

  /**
   * Guards against a queue in which all jobs become late in turn under overload, as happened when
   * jobs were ordered by deadline alone.
   */
  @Test
  void jobsThatCanMeetADeadlinePrecedeLateJobs() {
    Cluster clusterWithDeadlines =
        cluster(
            new ServiceLevelObjectives(
                Map.of(), Map.of("class", List.of(60 * SECOND, 90 * SECOND)), Map.of()));
    // Both jobs take 30 s and were accepted at 0 s and at 1 us. After 30 s, the first one can no
    // longer meet its deadline at 60 s.
    for (String id : List.of("req-1", "req-2")) {
      Job job = addJob(id, "alto", JobKind.ARRAY, Priority.NORMAL, 40, 2, false);
      clusterWithDeadlines.jobs.put(id, job);
    }
    Job older = clusterWithDeadlines.jobs.get("req-1");
    Job newer = clusterWithDeadlines.jobs.get("req-2");
    assertEquals(List.of(older, newer), Demand.of(clusterWithDeadlines, 30 * SECOND).waiting());
    assertEquals(List.of(newer, older), Demand.of(clusterWithDeadlines, 30 * SECOND + 1).waiting());
    assertEquals(List.of(older, newer), Demand.of(clusterWithDeadlines, 200 * SECOND).waiting());
    // Observed run times are half of the estimate, so the first job can still meet its deadline.
    for (int i = 0; i < 200; i++) {
      clusterWithDeadlines.runTimes.observe(
          new TaskRun(older.profile, i, i, "", "", older.spec.estimateMicros(), 15 * SECOND, true));
    }
    assertEquals(List.of(older, newer), Demand.of(clusterWithDeadlines, 30 * SECOND + 1).waiting());
  }

  /**
   * Guards against the starvation of a job that can meet no deadline: it is ordered last, and
   * waited for as long as new jobs arrived that could meet theirs. A starved job moves ahead of the
   * other jobs outside guarantees, and returns to its place once a task of it is placed.
   */
  @Test
  void starvedJobMovesAheadUntilItsFirstTaskIsPlaced() {
    Machine machine = addMachine("m-0", "east", true);
    Job large = addJob("req-1", "alto", JobKind.ARRAY, Priority.LOW, 400, 1, false);
    Job other = addJob("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 100, 1, false);
    Job guaranteed = addJob("req-3", "canto", JobKind.ARRAY, Priority.NORMAL, 1, 1, false);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 89 * SECOND).waiting());
    other.done.set(0);
    assertEquals(List.of(guaranteed, large, other), Demand.of(cluster, 91 * SECOND).waiting());
    addRunningTask(large, 0, machine);
    assertEquals(List.of(guaranteed, other, large), Demand.of(cluster, 91 * SECOND).waiting());
  }
}
