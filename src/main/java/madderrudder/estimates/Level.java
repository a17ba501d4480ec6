package madderrudder.estimates;

/**
 * A level of the hierarchical model: which runs an estimate goes by. The constants stand in the
 * order from the most specific level to the least specific one.
 */
public enum Level {
  /** Tasks of the same job, which had the same owner's estimate. */
  JOB(0, 16, "of the same job"),
  /** Same class, team, image and size of task. */
  WORK(1, 8, "of the same class, team, image and size"),
  /** Same class and team. */
  TEAM(2, 16, "of the same class and team"),
  /** Same class. */
  CLASS(3, 16, "of the same class"),
  /** All runs: what is known of a class that is new. */
  ALL(4, 32, "of all classes"),
  /** No run at all: the prior around the owner's estimate. */
  NONE(5, 0, "of none");

  /**
   * The number of runs (of jobs, above {@link #JOB}) in one generation of a {@link
   * WindowedHistogram}; between one and two generations are remembered. Twice or four times as many
   * gain a hundredth where nothing changes, and lose a sixth of the estimates where owners'
   * estimates drift (docs/estimates.md).
   */
  final int windowRuns;

  private final byte code;
  private final String words;

  Level(int code, int windowRuns, String words) {
    this.code = (byte) code;
    this.windowRuns = windowRuns;
    this.words = words;
  }

  /** The number that stands for the level in stored pages; it never changes. */
  byte code() {
    return code;
  }

  /**
   * The level with the code.
   *
   * @throws IllegalArgumentException if no level has it
   */
  static Level ofCode(byte code) {
    for (Level level : values()) {
      if (level.code == code) {
        return level;
      }
    }
    throw new IllegalArgumentException("no level has the code " + code);
  }

  /** Completes a sentence about runs, such as "8 runs of the same class". */
  public String words() {
    return words;
  }
}
