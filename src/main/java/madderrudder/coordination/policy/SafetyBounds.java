package madderrudder.coordination.policy;

/**
 * The bounds in time that the rules rest on. Two steady clocks may differ by twice the drift of
 * one; each bound is stretched or cut by more than that.
 */
public record SafetyBounds(long leaseMicros, long answerMicros) {
  private static final int QUIETS_PER_LEASE = 4;
  private static final long SLACK_MICROS = 1_000_000;

  /** Whether a hold may still be counted on, given when its last good extension was sent. */
  public static long leaseEndMicros(long sentMicros, long lifeMicros) {
    return sentMicros + minusClockDrift(lifeMicros) - 20_000;
  }

  /**
   * The part of a time given by another clock that has surely not passed there while it passes
   * here.
   */
  public static long minusClockDrift(long micros) {
    return micros - micros / 500;
  }

  /**
   * A controller that has heard the leader within this time does not answer in its stead. A
   * controller that ends and is back sooner than that has answered nobody; a worker whose leader
   * can't be reached has had time to come by before its lease is over.
   */
  public long leaderSilenceMicros() {
    return leaseMicros / QUIETS_PER_LEASE;
  }

  /**
   * {@code leaseMicros}: after this silence a worker has surely dropped its tasks. {@code
   * answerMicros}: how long reports may be answered without news from the store, so that a worker
   * that got the last answer drops a job cancelled meanwhile in time; 0 where no such time is.
   */
  public static SafetyBounds of(Deployment.WorkerTimes workers) {
    long lease = workers.leaseMicros() + workers.leaseMicros() / 500 + SLACK_MICROS / 2;
    return new SafetyBounds(lease, Math.max(0, workers.cancelMicros() - lease - SLACK_MICROS));
  }
}
