package madderrudder.estimates;

/**
 * How an {@link Estimator} combines the levels. The controllers use {@link #HIERARCHICAL}; the
 * replay compares the others with it ({@code docs/estimates.md} lists the results).
 */
public enum LearningMethod {
  /** All levels, weighted by their numbers of recent runs. */
  HIERARCHICAL,
  /** Only the most specific level with enough recent runs. */
  MOST_SPECIFIC_LEVEL,
  /** All levels, weighted by their numbers of runs, without discarding old runs. */
  HIERARCHICAL_ALL_RUNS;

  /** The number of runs in one generation of the level's histograms. */
  int generationRuns(Level level) {
    return discardsOldRuns() ? level.generationRuns : Integer.MAX_VALUE;
  }

  /** Whether old runs are discarded, by the sliding window and at change points. */
  boolean discardsOldRuns() {
    return this != HIERARCHICAL_ALL_RUNS;
  }
}
