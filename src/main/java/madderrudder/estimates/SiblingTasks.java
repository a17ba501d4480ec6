package madderrudder.estimates;

/** The tasks of one job that have run. */
final class SiblingTasks {
  private final WindowedHistogram durations = new WindowedHistogram(Level.JOB.windowRuns);
  private int learned;
  private long lastAttempt = -1;

  /**
   * Notes that a task of the attempt has run; false if the previous one was of the same attempt.
   * The tasks of a gang's attempt run as long as each other: together they are one run.
   */
  boolean beginAttempt(long attempt) {
    if (lastAttempt == attempt) {
      return false;
    }
    lastAttempt = attempt;
    return true;
  }

  void learn(double durationMicros) {
    durations.add(HistogramScale.duration(durationMicros));
    learned++;
  }

  boolean isEmpty() {
    return learned == 0;
  }

  /** Whether the number of tasks learned from is 1, 2, 4, 8 and so on. */
  boolean countIsPowerOfTwo() {
    return Integer.bitCount(learned) == 1;
  }

  WindowedHistogram durations() {
    return durations;
  }
}
