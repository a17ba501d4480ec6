package madderrudder.coordination.policy;

/**
 * The bounds in time that the safety rules rest on. Two steady clocks may differ by twice the drift
 * of one; each bound is stretched or cut by more than that.
 *
 * @param leaseMicros after this silence a worker's lease has certainly expired, and it has dropped
 *     its tasks, in microseconds
 * @param answerMicros how long heartbeats may be answered without news from the store, so that a
 *     worker that got the last answer drops a job cancelled meanwhile in time, in microseconds; 0
 *     where there is no such time
 */
public record SafetyBounds(long leaseMicros, long answerMicros) {
  private static final int SILENCES_PER_LEASE = 4;
  private static final long SLACK_MICROS = 1_000_000;
  private static final long LEADER_LEASE_SLACK_MICROS = 20_000;

  /** Twice the most that a steady clock drifts, and more: a part in so many. */
  private static final int DRIFT_DIVISOR = 500;

  /**
   * Up to which moment a leader may count on its lease.
   *
   * @param sentMicros when the request that granted or last renewed it was sent, on the steady
   *     clock
   * @param lifeMicros the length of the lease
   */
  public static long leaseEndMicros(long sentMicros, long lifeMicros) {
    return sentMicros + minusClockDrift(lifeMicros) - LEADER_LEASE_SLACK_MICROS;
  }

  /**
   * The time that may pass on this clock while certainly no more than the time given passes on
   * another one.
   */
  public static long minusClockDrift(long micros) {
    return micros - micros / DRIFT_DIVISOR;
  }

  /**
   * A controller that has heard the leader within this time, in microseconds, does not answer on
   * its behalf. A controller that ends and is back sooner than that has answered nobody; a worker
   * whose leader can't be reached has had time to come by before its lease is over.
   */
  public long leaderSilenceMicros() {
    return leaseMicros / SILENCES_PER_LEASE;
  }

  /** The bounds that follow from the times that workers keep. */
  public static SafetyBounds of(Deployment.WorkerTimes workers) {
    long drift = workers.leaseMicros() / DRIFT_DIVISOR;
    long lease = workers.leaseMicros() + drift + SLACK_MICROS / 2;
    return new SafetyBounds(lease, Math.max(0, workers.cancelMicros() - lease - SLACK_MICROS));
  }
}
