package madderrudder.coordination.scheduling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that are lost when the cloud reclaims their machine, and against stopping
 * tasks that end before the reclaim.
 */
class SpotReclaimDrainTest extends PlanningFixture {
  /**
   * Guards against tasks that are lost with a reclaimed machine and restarted only after its lease
   * has expired.
   */
  @Test
  void tasksThatCannotEndBeforeTheReclaimAreStopped() {
    Machine reclaimed = addMachine("m-0", "east", false);
    Job batch = addJob("req-1", "alto", JobKind.ARRAY, Priority.NORMAL, 3, 1, false);
    Assignment younger = addRunningTask(batch, 0, reclaimed);
    Assignment nearlyDone = addRunningTask(batch, 1, reclaimed);
    Assignment replica =
        addRunningTask(
            addJob("req-2", "basso", JobKind.SERVICE, Priority.PRODUCTION, 1, 1, false),
            0,
            reclaimed);
    Assignment elsewhere = addRunningTask(batch, 2, addMachine("m-1", "east", false));
    younger.runningMicros = 10 * SECOND;
    nearlyDone.runningMicros = 0;
    elsewhere.runningMicros = 10 * SECOND;
    replica.runningMicros = 0;
    assertEquals(List.of(), SpotReclaimDrain.plan(cluster, 20 * SECOND));
    // Tasks of this class take 30 s; the cloud reclaims the machine in 15 s.
    reclaimed.reclaimMicros = 35 * SECOND;
    assertEquals(List.of(younger), SpotReclaimDrain.plan(cluster, 20 * SECOND));
  }
}
