package madderrudder.coordination.registry;

/**
 * Issues ids that contain the term, so that no two leaders issue the same id. Confined to the event
 * loop thread.
 */
final class TermScopedIds {
  private static final int ATTEMPT_COUNTER_BITS = 24;

  private final long term;
  private long attemptCount;
  private long scaleOutRequestCount;

  TermScopedIds(long term) {
    this.term = term;
  }

  /**
   * Returns a new attempt number. The term is in the high bits, so attempt numbers of a later
   * leader are higher.
   */
  long nextAttempt() {
    attemptCount++;
    return (term << ATTEMPT_COUNTER_BITS) + attemptCount;
  }

  /**
   * Returns a new request id for a scale-out. The id serves as an idempotency key: the cloud
   * answers a repeated id with the answer to the first request.
   */
  String nextScaleOutRequestId() {
    scaleOutRequestCount++;
    return "t" + term + "-" + scaleOutRequestCount;
  }
}
