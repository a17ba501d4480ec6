package madderrudder.service;

/**
 * When users who were refused shall come back. After a gap all of them come at once and, told to
 * return in a second, at once again, each time for as many as the store takes in a second. They are
 * spread over as many seconds as it takes to serve those who were refused lately.
 */
final class RetryAfterPolicy {
  private static final long SECOND_MICROS = 1_000_000;

  /**
   * Users give up after a minute: nobody is sent away for so long that a second try would be the
   * last but few.
   */
  private static final int MOST_S = 8;

  private long windowMicros = Long.MIN_VALUE / 2;
  private int refused;
  private int before;
  private int turn;

  /**
   * The seconds after which one who is refused now shall come back, given how many a second are
   * served here.
   */
  int afterSeconds(long nowMicros, double perSecond) {
    if (nowMicros - windowMicros >= SECOND_MICROS) {
      before = nowMicros - windowMicros < 2 * SECOND_MICROS ? refused : 0;
      refused = 0;
      windowMicros = nowMicros;
    }
    refused++;
    int spread = (int) Math.min(MOST_S, Math.max(refused, before) / Math.max(1, perSecond));
    turn++;
    return 1 + (spread <= 1 ? 0 : turn % spread);
  }
}
