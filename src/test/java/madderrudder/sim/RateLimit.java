package madderrudder.sim;

import madderrudder.coordination.policy.Deployment;

/**
 * The store's rate limits as two token buckets, of requests and of writes; each holds a second's
 * worth at most.
 */
final class RateLimit {
  private final double requestsPerSecond;
  private final double writesPerSecond;
  private double requestTokens;
  private double writeTokens;
  private long refilledAtMicros;

  RateLimit(Deployment.StateLimits limits) {
    requestsPerSecond = limits.requestsPerSecond();
    writesPerSecond = limits.writesPerSecond();
    requestTokens = requestsPerSecond;
    writeTokens = writesPerSecond;
  }

  /** Takes the tokens of one request with so many writes, or none if there are too few. */
  boolean tryAcquire(int writes, long nowMicros) {
    double seconds = (nowMicros - refilledAtMicros) / 1e6;
    refilledAtMicros = nowMicros;
    requestTokens = Math.min(requestsPerSecond, requestTokens + seconds * requestsPerSecond);
    writeTokens = Math.min(writesPerSecond, writeTokens + seconds * writesPerSecond);
    if (requestTokens < 1 || writeTokens < writes) {
      return false;
    }
    requestTokens--;
    writeTokens -= writes;
    return true;
  }
}
