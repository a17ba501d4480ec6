package madderrudder.estimates;

/**
 * How long a task runs, from its start: as many such tasks take less than the median as take more,
 * and the share of them lies from the lower to the upper bound. The level is the one that weighs
 * most, with its count of runs.
 */
public record Estimate(
    long medianMicros,
    long lowMicros,
    long highMicros,
    double share,
    int runs,
    Level level,
    Basis basis) {

  /** What is taken to be alike: the ratio to the owner's guess, or the time itself. */
  public enum Basis {
    RATIO,
    TIME
  }

  private static final int SURE_RUNS = 8;
  static final Estimate UNKNOWN = new Estimate(0, 0, 0, 0, 0, Level.NONE, Basis.RATIO);

  /** Nothing has run and the owner has not guessed: there is no time to give. */
  public boolean unknown() {
    return medianMicros == 0;
  }

  /**
   * Whether enough of what is alike in class and team at least has run, rather than of something
   * else.
   */
  public boolean sure() {
    return level.compareTo(Level.TEAM) <= 0 && runs >= SURE_RUNS;
  }
}
