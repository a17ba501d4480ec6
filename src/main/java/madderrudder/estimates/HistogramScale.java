package madderrudder.estimates;

/**
 * How ratios and run times are stored as the whole numbers that a {@link WindowedHistogram} takes.
 */
final class HistogramScale {
  /** The stored value of a ratio of one. */
  static final long RATIO_ONE = 1_024;

  /** Run times are stored in milliseconds. */
  static final long MICROS_PER_VALUE = 1_000;

  /** No ratio is stored, and no prediction interval reaches, further off than this factor. */
  static final long MAX_FACTOR = 64;

  private static final long MIN_RATIO = RATIO_ONE / MAX_FACTOR;
  private static final long MAX_RATIO = RATIO_ONE * MAX_FACTOR;

  private HistogramScale() {}

  /** The stored ratio of the time to the owner's estimate, or 0 if there is no estimate. */
  static long ratio(double durationMicros, long ownerEstimateMicros) {
    if (ownerEstimateMicros == 0) {
      return 0;
    }
    long ratio = Math.round(RATIO_ONE * durationMicros / ownerEstimateMicros);
    return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
  }

  /** The stored run time, at least 1. */
  static long duration(double durationMicros) {
    return Math.max(1, Math.round(durationMicros / MICROS_PER_VALUE));
  }
}
