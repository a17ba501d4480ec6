package madderrudder.sim;

import madderrudder.coordination.policy.Deployment;

/**
 * The store's rate limits: two token buckets, for requests and for writes. Each holds at most the
 * tokens of one second.
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

  /**
   * Takes the tokens of one request with the given number of writes. Takes none and returns false
   * if either bucket has too few.
   */
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
