package madderrudder.coordination.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import madderrudder.coordination.scheduling.PlanningFixture;
import org.junit.jupiter.api.Test;

/**
 * Guards against tasks that run twice or past their cancellation deadline because clocks drift: the
 * bounds must hold if each clock drifts by up to 500 ppm.
 */
class SafetyBoundsTest extends PlanningFixture {
  @Test
  void answersWithoutStoreUpdatesEndBeforeTheCancellationDeadline() {
    Deployment.WorkerTimes workers = cluster.deployment.workers();
    SafetyBounds bounds = SafetyBounds.of(workers);
    double maxClockRatio = 1.0005 / 0.9995;
    assertTrue(
        (bounds.maxAnswerWithoutStoreMicros() + workers.leaseMicros()) * maxClockRatio
            < workers.cancelDeadlineMicros());
    assertTrue(bounds.workerLeaseExpiryMicros() > workers.leaseMicros() * maxClockRatio);
    assertTrue(SafetyBounds.leaseEndMicros(0, 3 * SECOND) * maxClockRatio < 3 * SECOND);
  }
}
