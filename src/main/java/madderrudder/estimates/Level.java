package madderrudder.estimates;

import java.util.List;

/** How alike the runs are that an estimate goes by, the most alike first. */
public enum Level {
  /** Tasks of the same job, which had the same guess. */
  JOB(16, "of the same job"),
  /** Same class, team, image and size of task. */
  WORK(8, "of the same class, team, image and size"),
  /** Same class and team. */
  TEAM(16, "of the same class and team"),
  CLASS(16, "of the same class"),
  /** Whatever has run: all that is known of a class that is new. */
  ALL(32, "of all classes"),
  /** Nothing has run: the owner's guess, and how wrong guesses usually are. */
  NONE(0, "of none");

  /**
   * A generation of jobs; between one and two of them are remembered. Twice or four times as many
   * gain a hundredth where nothing changes, and lose a sixth of the estimates where guesses drift
   * (docs/estimates.md).
   */
  final int window;

  private final String words;

  Level(int window, String words) {
    this.window = window;
    this.words = words;
  }

  /** The number under which estimate pages name the level. */
  byte code() {
    return (byte) List.of(values()).indexOf(this);
  }

  /** The level that a page names. */
  static Level ofCode(byte code) {
    return values()[code];
  }

  /** For sentences: the runs are of the same class, say. */
  public String words() {
    return words;
  }
}
