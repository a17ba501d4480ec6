package madderrudder.estimates;

/**
 * The estimated run time of a task, measured from its start: the median of the predictive
 * distribution and a prediction interval around it. All times are in microseconds.
 *
 * @param medianMicros the median of the predictive distribution; 0 if the run time is unknown
 * @param lowMicros the lower bound of the prediction interval
 * @param highMicros the upper bound of the prediction interval
 * @param coverage the probability with which the interval contains the run time, between 0 and 1; 0
 *     without an interval
 * @param runs the number of runs at {@code level} that the estimate is based on
 * @param level the level with the largest weight in the estimate
 * @param basis the quantity whose distribution the estimate is taken from
 */
public record Estimate(
    long medianMicros,
    long lowMicros,
    long highMicros,
    double coverage,
    int runs,
    Level level,
    Basis basis) {

  /** The quantity whose distribution over the runs of a level is used for prediction. */
  public enum Basis {
    /** The ratio of the actual run time to the owner's estimate. */
    RATIO,
    /** The run time itself. */
    TIME
  }

  /** The minimum number of runs behind a confident estimate. */
  private static final int MIN_CONFIDENT_RUNS = 8;

  /** The estimate for a task without similar runs and without an owner's estimate. */
  static final Estimate UNKNOWN = new Estimate(0, 0, 0, 0, 0, Level.NONE, Basis.RATIO);

  /**
   * An estimate without a prediction interval and without evidence: both bounds are the median.
   *
   * @param micros the median in microseconds, or 0 if the run time is unknown
   */
  public static Estimate ofPoint(long micros) {
    return new Estimate(micros, micros, micros, 0, 0, Level.NONE, Basis.RATIO);
  }

  /**
   * Whether the run time is unknown because there are neither similar runs nor an owner's estimate.
   */
  public boolean isUnknown() {
    return medianMicros == 0;
  }

  /** Whether the estimate is based on at least 8 runs of the same class and team. */
  public boolean isConfident() {
    return level.compareTo(Level.TEAM) <= 0 && runs >= MIN_CONFIDENT_RUNS;
  }

  /** Whether the time in microseconds lies within the prediction interval, bounds included. */
  public boolean contains(long micros) {
    return micros >= lowMicros && micros <= highMicros;
  }
}
