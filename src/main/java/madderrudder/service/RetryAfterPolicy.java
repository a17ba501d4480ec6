package madderrudder.service;

/**
 * Chooses the Retry-After delays of refused requests. After an interruption all users send their
 * requests at once. With a fixed delay of 1 s they would all return at once again, and each time
 * the store would serve only as many as it can in a second. The delays are therefore spread over as
 * many seconds as it takes to serve the requests that were refused recently. Confined to the event
 * loop thread.
 */
final class RetryAfterPolicy {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * The longest delay in seconds. Users give up after a minute; a longer delay would leave them few
   * retries after the second one.
   */
  private static final int MAX_DELAY_SECONDS = 8;

  private long secondStartMicros = Long.MIN_VALUE / 2;
  private int refusedInCurrentSecond;
  private int refusedInPreviousSecond;
  private int roundRobinPosition;

  /**
   * Counts a refused request and returns the delay after which the user should retry it.
   *
   * @param nowMicros the time on the monotonic clock in microseconds
   * @param servedPerSecond the rate at which this controller serves such requests
   * @return the delay in seconds, 1 or more
   */
  int chooseDelaySeconds(long nowMicros, double servedPerSecond) {
    countRefusal(nowMicros);
    int refused = Math.max(refusedInCurrentSecond, refusedInPreviousSecond);
    int spreadSeconds = (int) Math.min(MAX_DELAY_SECONDS, refused / Math.max(1, servedPerSecond));
    roundRobinPosition++;
    return 1 + (spreadSeconds <= 1 ? 0 : roundRobinPosition % spreadSeconds);
  }

  private void countRefusal(long nowMicros) {
    long sinceMicros = nowMicros - secondStartMicros;
    if (sinceMicros >= SECOND_MICROS) {
      refusedInPreviousSecond = sinceMicros < 2 * SECOND_MICROS ? refusedInCurrentSecond : 0;
      refusedInCurrentSecond = 0;
      secondStartMicros = nowMicros;
    }
    refusedInCurrentSecond++;
  }
}
