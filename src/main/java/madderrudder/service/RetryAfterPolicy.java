package madderrudder.service;

/**
 * When users whose requests were refused should try again. After a gap all of them come at once
 * and, told to return in a second, at once again, each time for as many as the store takes in a
 * second. They are spread over as many seconds as it takes to serve those who were refused lately.
 * Confined to the event loop thread.
 */
final class RetryAfterPolicy {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * Users give up after a minute: nobody is sent away for so long that few tries would be left
   * after the second one.
   */
  private static final int MAX_S = 8;

  private long secondBeganMicros = Long.MIN_VALUE / 2;
  private int refusedThisSecond;
  private int refusedSecondBefore;
  private int turn;

  /**
   * Counts one refused request, and returns when it should be tried again.
   *
   * @param nowMicros the steady clock in microseconds
   * @param servedPerSecond how many requests a second are served here
   * @return a whole number of seconds, 1 or more
   */
  int afterSeconds(long nowMicros, double servedPerSecond) {
    countRefusal(nowMicros);
    int refused = Math.max(refusedThisSecond, refusedSecondBefore);
    int spread = (int) Math.min(MAX_S, refused / Math.max(1, servedPerSecond));
    turn++;
    return 1 + (spread <= 1 ? 0 : turn % spread);
  }

  private void countRefusal(long nowMicros) {
    long sinceMicros = nowMicros - secondBeganMicros;
    if (sinceMicros >= SECOND_MICROS) {
      refusedSecondBefore = sinceMicros < 2 * SECOND_MICROS ? refusedThisSecond : 0;
      refusedThisSecond = 0;
      secondBeganMicros = nowMicros;
    }
    refusedThisSecond++;
  }
}
