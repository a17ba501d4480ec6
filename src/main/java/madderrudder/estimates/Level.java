package madderrudder.estimates;

/**
 * A level of the hierarchical model, which selects the runs that an estimate is based on. The
 * constants are ordered from the most specific level to the least specific one.
 */
public enum Level {
  /** Tasks of the same job, which share the owner's estimate. */
  JOB(0, 16, "of the same job"),
  /** Tasks of the same class, team, image and size. */
  WORK(1, 8, "of the same class, team, image and size"),
  /** Tasks of the same class and team. */
  TEAM(2, 16, "of the same class and team"),
  /** Tasks of the same class. */
  CLASS(3, 16, "of the same class"),
  /** All tasks, for classes without runs. */
  ALL(4, 32, "of all classes"),
  /** No runs: the prior around the owner's estimate. */
  NONE(5, 0, "of none");

  /**
   * The number of runs (at {@link #JOB}) or jobs (at the other levels) in one generation of a
   * {@link WindowedHistogram}, which keeps one to two generations. With generations two or four
   * times as large, about a hundredth more of the estimates are accurate if nothing changes, but a
   * sixth fewer are if owners' estimates drift (docs/estimates.md).
   */
  final int generationRuns;

  private final byte code;
  private final String description;

  Level(int code, int generationRuns, String description) {
    this.code = (byte) code;
    this.generationRuns = generationRuns;
    this.description = description;
  }

  /** The code of the level in stored pages, which must not change. */
  byte code() {
    return code;
  }

  /**
   * Returns the level with the code.
   *
   * @throws IllegalArgumentException if no level has the code
   */
  static Level ofCode(byte code) {
    for (Level level : values()) {
      if (level.code == code) {
        return level;
      }
    }
    throw new IllegalArgumentException("unknown level code " + code);
  }

  /** A phrase that follows a number of runs, as in "8 runs of the same class". */
  public String description() {
    return description;
  }
}
