package madderrudder.coordination.policy;

/**
 * The time bounds on which the safety rules rely. Intervals measured on two monotonic clocks may
 * differ by twice the drift of one clock, so each bound is extended or reduced by more than that.
 *
 * @param workerLeaseExpiryMicros the time without contact after which a worker's lease has
 *     certainly expired and the worker has stopped its tasks, in microseconds
 * @param maxAnswerWithoutStoreMicros how long heartbeats may be answered without updates from the
 *     store, in microseconds: a worker that receives the last answer still stops the tasks of a job
 *     that was cancelled in the meantime before the cancellation deadline; 0 if the settings leave
 *     no such time
 */
public record SafetyBounds(long workerLeaseExpiryMicros, long maxAnswerWithoutStoreMicros) {
  private static final int LEADER_SILENCES_PER_LEASE = 4;
  private static final long SAFETY_MARGIN_MICROS = 1_000_000;
  private static final long LEADER_LEASE_MARGIN_MICROS = 20_000;

  /**
   * The divisor that yields the drift allowance; 1/500 exceeds twice the maximum drift of a clock.
   */
  private static final int CLOCK_DRIFT_DIVISOR = 500;

  /**
   * Returns the time until which a leader may rely on its lease, on the monotonic clock.
   *
   * @param sentMicros when the request that granted or last renewed the lease was sent, on the
   *     monotonic clock
   * @param durationMicros the duration of the lease in the store
   */
  public static long leaseEndMicros(long sentMicros, long durationMicros) {
    return sentMicros + shortenByClockDrift(durationMicros) - LEADER_LEASE_MARGIN_MICROS;
  }

  /**
   * Returns the longest interval on this clock during which certainly no more than the given
   * interval passes on another clock.
   */
  public static long shortenByClockDrift(long micros) {
    return micros - micros / CLOCK_DRIFT_DIVISOR;
  }

  /**
   * Returns how long a controller must have received nothing from the leader before it answers
   * heartbeats on the leader's behalf, in microseconds. A controller that stops and restarts within
   * that time has therefore answered no heartbeat. A quarter of the lease leaves a worker that
   * cannot reach the leader time to contact a delegate before its lease expires.
   */
  public long leaderSilenceMicros() {
    return workerLeaseExpiryMicros / LEADER_SILENCES_PER_LEASE;
  }

  /** Derives the bounds from the intervals and timeouts of workers. */
  public static SafetyBounds of(Deployment.WorkerTimes workers) {
    long driftMicros = workers.leaseMicros() / CLOCK_DRIFT_DIVISOR;
    long workerLeaseExpiryMicros = workers.leaseMicros() + driftMicros + SAFETY_MARGIN_MICROS / 2;
    return new SafetyBounds(
        workerLeaseExpiryMicros,
        Math.max(
            0, workers.cancelDeadlineMicros() - workerLeaseExpiryMicros - SAFETY_MARGIN_MICROS));
  }
}
