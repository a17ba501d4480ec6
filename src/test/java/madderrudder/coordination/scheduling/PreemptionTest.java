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

/** Which running tasks are preempted. */
class PreemptionTest extends PlanningFixture {
  @Test
  void productionPreemptsTheLowerWorkThatLosesLeast() {
    Machine first = machine("m-0", "east", true);
    Machine second = machine("m-1", "east", true);
    Job batch = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 4, false);
    Assignment old = put(batch, 0, first);
    Assignment young = put(batch, 1, second);
    old.runningMicros = 0;
    young.runningMicros = 25 * SECOND;
    first.lastHeardMicros = 30 * SECOND;
    second.lastHeardMicros = 30 * SECOND;
    job("req-2", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false);
    assertEquals(
        Set.of(young), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 30 * SECOND));
  }

  /**
   * Capacity freed by preemption must not go back to what was preempted: that once caused thousands
   * of starts in a loop.
   */
  @Test
  void preemptedWorkComesAfterWhatItWasPreemptedFor() {
    Machine only = machine("m-0", "east", true);
    Job borrower = job("req-1", "alto", JobKind.ARRAY, Priority.HIGH, 4, 4, false);
    Assignment stopped = put(borrower, 0, only);
    put(borrower, 1, machine("m-1", "east", true));
    put(borrower, 2, machine("m-2", "east", true));
    Job guaranteed = job("req-2", "basso", JobKind.ARRAY, Priority.NORMAL, 1, 4, false);
    Set<Assignment> victims = Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND);
    assertEquals(1, victims.size());
    assertEquals(borrower, victims.iterator().next().job);
    assertEquals(guaranteed, Demand.of(cluster, 0).waiting().get(0));
    assertEquals("req-1", stopped.task.job());
  }

  /**
   * What ends by itself as soon as a stop would be done is not stopped: all it has done would be
   * lost for nothing.
   */
  @Test
  void tasksThatEndSoonAreNotPreempted() {
    Set<Assignment> ending = new HashSet<>();
    Cluster known = cluster(ServiceLevelObjectives.none(), new KnownRunTimes(ending));
    Machine machine = machine("m-0", "east", true);
    known.add(machine);
    Job old = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 2, 2, false);
    Job urgent = job("req-2", "basso", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false);
    known.jobs.put("req-1", old);
    known.jobs.put("req-2", urgent);
    Assignment one = put(old, 0, machine);
    Assignment other = put(old, 1, machine);
    assertEquals(1, Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND).size());
    ending.add(one);
    assertEquals(Set.of(), Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND));
    // The task that ends frees capacity for one task only.
    known.jobs.put("req-3", job("req-3", "canto", JobKind.ARRAY, Priority.PRODUCTION, 1, 2, false));
    assertEquals(Set.of(other), Preemption.plan(known, POLICY, Demand.of(known, 0), SECOND));
  }

  /**
   * A task below the threshold may not use rented machines yet: preempting there for it once went
   * on without end.
   */
  @Test
  void nothingIsPreemptedWhereTheTaskMayNotGoYet() {
    put(
        job("req-1", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false),
        0,
        machine("m-0", "east", true));
    Machine rented = machine("m-1", "east", false);
    put(job("req-2", "alto", JobKind.ARRAY, Priority.LOW, 3, 4, false), 0, rented);
    job("req-3", "alto", JobKind.SERVICE, Priority.PRODUCTION, 1, 4, false);
    assertEquals(Set.of(), Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), SECOND));
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 21 * SECOND);
    assertEquals(1, Preemption.plan(cluster, POLICY, Demand.of(cluster, 0), 21 * SECOND).size());
  }

  /** All that a gang lacks is freed, where least is lost, or nothing. */
  @Test
  void preemptionForAGangFreesAllItNeedsOrNothing() {
    Machine light = machine("m-0", "east", true);
    Machine heavy = machine("m-1", "east", true);
    Machine other = machine("m-2", "west", true);
    Job batch = job("req-1", "basso", JobKind.ARRAY, Priority.LOW, 9, 2, false);
    Assignment cheap = put(batch, 0, light);
    put(batch, 1, heavy);
    put(batch, 2, heavy);
    Assignment alone = put(batch, 3, other);
    Job running = job("req-2", "alto", JobKind.GANG, Priority.LOW, 1, 2, false);
    Assignment member = put(running, 0, other);
    job("req-3", "alto", JobKind.GANG, Priority.HIGH, 1, 4, false);
    assertEquals(Set.of(cheap), Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.jobs.remove("req-3");
    // A machine with a gang's task on it is never emptied, so a gang of three finds only two.
    Job three = job("req-4", "canto", JobKind.GANG, Priority.HIGH, 3, 4, false);
    assertEquals(Set.of(), Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND));
    cluster.release(member, SECOND);
    cluster.jobs.remove("req-2");
    assertTrue(
        Preemption.plan(cluster, at(0), Demand.of(cluster, 0), SECOND)
            .containsAll(Set.of(cheap, alone)));
    assertEquals(0, three.assignments.size());
  }
}
