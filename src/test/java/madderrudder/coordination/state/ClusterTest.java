package madderrudder.coordination.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import madderrudder.coordination.scheduling.PlanningFixture;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Guards against cancellations that count as settled while a task of a cancelled job may still be
 * on a machine.
 */
class ClusterTest extends PlanningFixture {
  /**
   * The leader's grants to other controllers count from before the oldest cancellation that may not
   * have taken effect everywhere. Otherwise a controller that can reach the leader could keep a
   * cancelled task alive for ever on a worker that cannot reach it.
   */
  @Test
  void cancellationsAreSettledOnceNoTaskOfTheirJobsIsLeft() {
    Machine machine = addMachine("m-0", "east", true);
    Job job = addJob("req-1", "canto", JobKind.ARRAY, Priority.NORMAL, 3, 1, false);
    Assignment first = addRunningTask(job, 0, machine);
    Assignment second = addRunningTask(job, 1, machine);
    assertEquals(100, cluster.cancellationsSettledMicros(100));
    cluster.markCancelled(first, 40);
    cluster.markCancelled(second, 60);
    cluster.markCancelled(first, 70);
    assertEquals(40, cluster.cancellationsSettledMicros(100));
    cluster.release(first, 0);
    assertEquals(60, cluster.cancellationsSettledMicros(100));
    cluster.recordCompletion(second);
    assertEquals(100, cluster.cancellationsSettledMicros(100));
    cluster.replaceOrphanTasks(
        machine,
        List.of(new OrphanTask(new TaskAttempt(new TaskId("req-9", 0), 1), "", Resources.NONE)));
    assertEquals(Cluster.LONG_AGO, cluster.cancellationsSettledMicros(100));
    cluster.replaceOrphanTasks(machine, List.of());
    assertEquals(100, cluster.cancellationsSettledMicros(100));
  }
}
