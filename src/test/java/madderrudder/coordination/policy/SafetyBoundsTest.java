package madderrudder.coordination.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import madderrudder.coordination.scheduling.PlanningFixture;
import org.junit.jupiter.api.Test;

/** Bounds that keep leases and cancellations safe with clocks that drift. */
class SafetyBoundsTest extends PlanningFixture {
  @Test
  void answeringWithoutNewsEndsBeforeACancelledTaskIsDue() {
    Deployment.WorkerTimes workers = cluster.deployment.workers();
    SafetyBounds safety = SafetyBounds.of(workers);
    double drift = 1.0005 / 0.9995;
    assertTrue((safety.answerMicros() + workers.leaseMicros()) * drift < workers.cancelMicros());
    assertTrue(safety.leaseMicros() > workers.leaseMicros() * drift);
    assertTrue(SafetyBounds.leaseEndMicros(0, 3 * SECOND) * drift < 3 * SECOND);
  }
}
