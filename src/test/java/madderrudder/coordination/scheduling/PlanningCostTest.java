package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.EstimatedRunTimes;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

/** What planning costs with many machines, and with jobs that fail everywhere. */
class PlanningCostTest extends PlanningFixture {
  /** Counts how often the planners look at a machine for a job. */
  private static final class CountingCluster extends Cluster {
    private long looks;

    CountingCluster(Deployment deployment) {
      super(deployment, new EstimatedRunTimes());
    }

    @Override
    public boolean allowed(Job job, Machine machine) {
      looks++;
      return super.allowed(job, machine);
    }
  }

  /**
   * Planning that looked at each machine for each waiting task took all of the processor at 490
   * machines.
   */
  @Test
  void planningLooksAtEachMachineOnceForAJobNotForEachTask() {
    CountingCluster large = new CountingCluster(cluster.deployment);
    large.types = cluster.types;
    int machines = 400;
    int jobs = 10;
    for (int i = 0; i < machines; i++) {
      Machine machine =
          new Machine("m-" + i, TYPE, i % 2 == 0 ? "east" : "west", false, false, 0, 0);
      machine.reported = true;
      large.add(machine);
    }
    for (int i = 0; i < jobs; i++) {
      large.jobs.put(
          "req-" + i, job("req-" + i, "alto", JobKind.ARRAY, Priority.NORMAL, 300, 0.01, false));
    }
    assertTrue(Placer.plan(large, POLICY, Demand.of(large, 0), SECOND).size() > 300);
    assertTrue(large.looks <= (long) jobs * machines, large.looks + " looks to place");
    large.looks = 0;
    Preemption.plan(large, POLICY, Demand.of(large, 0), SECOND);
    assertTrue(large.looks <= (long) jobs * machines, large.looks + " looks to make room");
    // What ends costs no look at any machine at all.
    large.looks = 0;
    Job first = large.jobs.get("req-0");
    List<Assignment> placed = new ArrayList<>();
    for (int task = 0; task < 300; task++) {
      Assignment assignment =
          new Assignment(
              new TaskId("req-0", task),
              task + 1,
              large.machines.get("m-" + task),
              "alto",
              first.spec.perTask(),
              first,
              false,
              0);
      large.addAssignment(assignment);
      placed.add(assignment);
    }
    assertEquals(3_000, large.usage().get("alto").milliCpus());
    placed.forEach(assignment -> large.release(assignment, SECOND));
    assertEquals(0, large.usage().get("alto").milliCpus());
    assertEquals(0, large.looks);
  }

  /**
   * A mistake in a job costs next to nothing: no rental, and one task at a time, each later than
   * the one before. Its three hundred tasks were once tried each on its own account.
   */
  @Test
  void aJobThatFailsEverywhereCostsNextToNothing() {
    for (int i = 0; i < 4; i++) {
      machine("m-" + i, "east", true);
    }
    Job wrong = job("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 300, 1, false);
    for (int i = 0; i < 4; i++) {
      wrong.failed(i, "m-" + i, 0);
    }
    assertTrue(wrong.failing());
    assertEquals(List.of(), scaleOut(100 * SECOND, 10));
    int tried = 0;
    for (long now = 0; now < 600 * SECOND; now += SECOND) {
      for (Machine machine : cluster.machines.values()) {
        machine.lastHeardMicros = now;
      }
      for (Placement placement : Placer.plan(cluster, POLICY, Demand.of(cluster, 0), now)) {
        wrong.failed(placement.task(), placement.machine().id, now);
        tried++;
      }
    }
    assertTrue(tried > 8 && tried < 20, tried + " tries in ten minutes");
    wrong.completed();
    cluster.machines.values().forEach(machine -> machine.lastHeardMicros = 700 * SECOND);
    // Nor has it nowhere to go because it has failed everywhere.
    assertTrue(
        Placer.plan(cluster, POLICY, Demand.of(cluster, 0), 700 * SECOND).size() > 4,
        "it is not tried in full");
  }
}
