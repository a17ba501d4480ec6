package madderrudder.estimates;

/**
 * How long a task runs from its start: the median of the predictive distribution and a prediction
 * interval around it. All times are in microseconds.
 *
 * @param medianMicros half of such tasks take less; 0 if nothing is known
 * @param lowMicros the lower bound of the prediction interval
 * @param highMicros the upper bound of the prediction interval
 * @param coverage the share of such tasks that the interval is expected to contain, between 0 and 1
 * @param runs how many runs of {@code level} the estimate goes by
 * @param level the level with the largest weight in the estimate
 * @param basis what was taken to be alike between runs
 */
public record Estimate(
    long medianMicros,
    long lowMicros,
    long highMicros,
    double coverage,
    int runs,
    Level level,
    Basis basis) {

  /** What is taken to be alike between runs of a level. */
  public enum Basis {
    /** The ratio of the true run time to the owner's estimate. */
    RATIO,
    /** The run time itself. */
    TIME
  }

  private static final int CONFIDENT_RUNS = 8;

  /** Of a task of which nothing is known. */
  static final Estimate UNKNOWN = new Estimate(0, 0, 0, 0, 0, Level.NONE, Basis.RATIO);

  /**
   * An estimate without a prediction interval and without evidence: both bounds are the median.
   *
   * @param micros the median, or 0 if nothing is known
   */
  public static Estimate ofPoint(long micros) {
    return new Estimate(micros, micros, micros, 0, 0, Level.NONE, Basis.RATIO);
  }

  /** Whether no time can be given: nothing alike has run and there is no owner's estimate. */
  public boolean isUnknown() {
    return medianMicros == 0;
  }

  /** Whether it goes by at least 8 runs that have at least the class and the team in common. */
  public boolean isConfident() {
    return level.compareTo(Level.TEAM) <= 0 && runs >= CONFIDENT_RUNS;
  }

  /** Whether the time lies within the prediction interval, its bounds included. */
  public boolean contains(long micros) {
    return micros >= lowMicros && micros <= highMicros;
  }
}
