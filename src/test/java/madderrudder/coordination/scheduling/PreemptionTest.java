package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import madderrudder.coordination.policy.ServiceLevelObjectives;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against preemption that discards work without a benefit for the waiting job, or that
 * repeats without end.
 */
class PreemptionTest extends PlanningFixture {
  @Test
  void productionPreemptsTheLowerPriorityTaskOfLeastLoss() {
    Machine first = addMachine("m-0", "east", true);
    Machine second = addMachine("m-1", "east", true);
    Job batch = addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 4, false);
    Assignment older = addRunningTask(batch, 0, first);
    Assignment younger = addRunningTask(batch, 1, second);
    older.runningMicros = 0;
    younger.runningMicros = 25 * SECOND;
    first.lastHeartbeatAnsweredMicros = 30 * SECOND;
    second.lastHeartbeatAnsweredMicros = 30 * SECOND;
    addJob("req-2", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false);
    assertEquals(
        Set.of(younger), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 30 * SECOND));
  }

  /**
   * Guards against a loop of preemptions and restarts: if capacity freed by preemption goes back to
   * the preempted job, the same tasks are started thousands of times.
   */
  @Test
  void preemptedJobIsOrderedAfterTheJobItWasPreemptedFor() {
    Machine machine = addMachine("m-0", "east", true);
    Job overGuarantee = addJob("req-1", "alto", JobKind.ARRAY, Priority.HIGH, 4, 4, false);
    Assignment stopped = addRunningTask(overGuarantee, 0, machine);
    addRunningTask(overGuarantee, 1, addMachine("m-1", "east", true));
    addRunningTask(overGuarantee, 2, addMachine("m-2", "east", true));
    Job guaranteed = addJob("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 1, 4, false);
    Set<Assignment> victims = Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND);
    assertEquals(1, victims.size());
    assertEquals(overGuarantee, victims.iterator().next().job);
    assertEquals(guaranteed, Demand.of(cluster, 0).waiting().get(0));
    assertEquals("req-1", stopped.task.job());
  }

  /**
   * Guards against the preemption of a task that ends by itself by the time a stop would take
   * effect: all of its work would be lost without a benefit.
   */
  @Test
  void tasksThatEndSoonAreNotPreempted() {
    Set<Assignment> endingSoon = new HashSet<>();
    Cluster clusterWithEndingTasks =
        cluster(ServiceLevelObjectives.none(), new FixedRunTimes(endingSoon));
    Machine machine = addMachine("m-0", "east", true);
    clusterWithEndingTasks.add(machine);
    Job old = addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    Job urgent = addJob("req-2", "basso", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false);
    clusterWithEndingTasks.jobs.put("req-1", old);
    clusterWithEndingTasks.jobs.put("req-2", urgent);
    Assignment first = addRunningTask(old, 0, machine);
    Assignment second = addRunningTask(old, 1, machine);
    assertEquals(
        1,
        Preemption.plan(
                clusterWithEndingTasks, POLICY, Demand.of(clusterWithEndingTasks, 0), SECOND)
            .size());
    endingSoon.add(first);
    assertEquals(
        Set.of(),
        Preemption.plan(
            clusterWithEndingTasks, POLICY, Demand.of(clusterWithEndingTasks, 0), SECOND));
    // The ending task frees capacity for one of the two waiting jobs only.
    clusterWithEndingTasks.jobs.put(
        "req-3", addJob("req-3", "canto", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false));
    assertEquals(
        Set.of(second),
        Preemption.plan(
            clusterWithEndingTasks, POLICY, Demand.of(clusterWithEndingTasks, 0), SECOND));
  }

  /**
   * Guards against endless preemption on rented machines for a task that has not waited for the
   * threshold: it may not use the capacity freed there, so preemption for it repeats.
   */
  @Test
  void nothingIsPreemptedOnMachinesThatTheTaskMayNotUseYet() {
    addRunningTask(
        addJob("req-1", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false),
        0,
        addMachine("m-0", "east", true));
    Machine rented = addMachine("m-1", "east", false);
    addRunningTask(addJob("req-2", "alto", JobKind.ARRAY, Priority.LOW, 3, 4, false), 0, rented);
    addJob("req-3", "alto", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false);
    assertEquals(Set.of(), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND));
    cluster.machines.values().forEach(machine -> machine.lastHeartbeatAnsweredMicros = 21 * SECOND);
    assertEquals(1, Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 21 * SECOND).size());
  }

  /**
   * Preemption frees capacity for all tasks of a gang at the least loss, or for none of them: a
   * gang that does not fit as a whole cannot use freed capacity.
   */
  @Test
  void preemptionForAGangFreesCapacityForAllTasksOrNone() {
    Machine light = addMachine("m-0", "east", true);
    Machine heavy = addMachine("m-1", "east", true);
    Machine other = addMachine("m-2", "west", true);
    Job batch = addJob("req-1", "basso", JobKind.ARRAY, Priority.LOW, 9, 2, false);
    Assignment cheap = addRunningTask(batch, 0, light);
    addRunningTask(batch, 1, heavy);
    addRunningTask(batch, 2, heavy);
    Assignment single = addRunningTask(batch, 3, other);
    Job runningGang = addJob("req-2", "alto", JobKind.GANG, Priority.LOW, 1, 2, false);
    Assignment gangTask = addRunningTask(runningGang, 0, other);
    addJob("req-3", "alto", JobKind.GANG, Priority.HIGH, 1, 4, false);
    assertEquals(
        Set.of(cheap),
        Preemption.plan(cluster, policyWithThreshold(0), Demand.of(cluster, 0), SECOND));
    cluster.jobs.remove("req-3");
    // A task of a gang is never preempted, so a gang of three finds only two machines.
    Job gangOfThree = addJob("req-4", "canto", JobKind.GANG, Priority.HIGH, 3, 4, false);
    assertEquals(
        Set.of(), Preemption.plan(cluster, policyWithThreshold(0), Demand.of(cluster, 0), SECOND));
    cluster.release(gangTask, SECOND);
    cluster.jobs.remove("req-2");
    assertTrue(
        Preemption.plan(cluster, policyWithThreshold(0), Demand.of(cluster, 0), SECOND)
            .containsAll(Set.of(cheap, single)));
    assertEquals(0, gangOfThree.assignments.size());
  }
}
