package madderrudder.estimates;

/** Converts ratios and run times to the integer values of a {@link WindowedHistogram}. */
final class HistogramScale {
  /** The stored value of a ratio of 1. */
  static final long RATIO_ONE = 1_024;

  /** The unit of stored run times: a millisecond. */
  static final long MICROS_PER_DURATION_UNIT = 1_000;

  /**
   * The limit of stored ratios, as a factor from 1, and of the bounds of prediction intervals, as a
   * factor from the median.
   */
  static final long MAX_FACTOR = 64;

  private static final long MIN_RATIO = RATIO_ONE / MAX_FACTOR;
  private static final long MAX_RATIO = RATIO_ONE * MAX_FACTOR;

  private HistogramScale() {}

  /**
   * The stored value of the ratio of the run time to the owner's estimate, or 0 if there is no
   * owner's estimate.
   */
  static long toStoredRatio(double durationMicros, long ownerEstimateMicros) {
    if (ownerEstimateMicros == 0) {
      return 0;
    }
    long ratio = Math.round(RATIO_ONE * durationMicros / ownerEstimateMicros);
    return Math.max(MIN_RATIO, Math.min(MAX_RATIO, ratio));
  }

  /** The stored value of the run time, at least 1. */
  static long toStoredDuration(double durationMicros) {
    return Math.max(1, Math.round(durationMicros / MICROS_PER_DURATION_UNIT));
  }
}
