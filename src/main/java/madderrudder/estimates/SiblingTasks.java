package madderrudder.estimates;

/** The observed tasks of one job. */
final class SiblingTasks {
  private final WindowedHistogram durations = new WindowedHistogram(Level.JOB.generationRuns);
  private int taskCount;
  private long lastAttempt = -1;

  /**
   * Records the attempt of an observed task; returns false if the previous task belonged to the
   * same attempt. The tasks of a gang's attempt have equal run times and therefore count as one
   * run.
   */
  boolean recordAttempt(long attempt) {
    if (lastAttempt == attempt) {
      return false;
    }
    lastAttempt = attempt;
    return true;
  }

  /** Adds the run time of a task. */
  void add(double durationMicros) {
    durations.add(HistogramScale.toStoredDuration(durationMicros));
    taskCount++;
  }

  /** Whether no run time has been added. */
  boolean isEmpty() {
    return taskCount == 0;
  }

  /** Whether the number of added run times is a power of two. */
  boolean isTaskCountPowerOfTwo() {
    return Integer.bitCount(taskCount) == 1;
  }

  /** The distribution of the latest run times, scaled by {@link HistogramScale}. */
  WindowedHistogram durations() {
    return durations;
  }
}
