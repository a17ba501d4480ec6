package madderrudder.coordination.registry;

/**
 * Issues ids that embed the term, so that no two leaders ever issue the same one. Confined to the
 * event loop thread.
 */
final class TermScopedIds {
  private static final int COUNTER_BITS = 24;

  private final long term;
  private long attempts;
  private long scaleOutRequests;

  TermScopedIds(long term) {
    this.term = term;
  }

  /** The next attempt number: the term in the high bits, so a later leader's is higher. */
  long nextAttempt() {
    attempts++;
    return (term << COUNTER_BITS) + attempts;
  }

  /** The next request id. The cloud answers a repeated id with the answer to the first request. */
  String nextScaleOutRequestId() {
    scaleOutRequests++;
    return "t" + term + "-" + scaleOutRequests;
  }
}
