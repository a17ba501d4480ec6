package madderrudder.estimates;

/**
 * How an {@link Estimator} combines the levels. The controllers use {@link #HIERARCHICAL}; the
 * others are kept for comparison by the replay ({@code docs/estimates.md} has their results).
 */
public enum LearningMethod {
  /** All levels, weighted by their evidence, over recent runs. */
  HIERARCHICAL,
  /** The most specific level with enough runs alone, over recent runs. */
  NEAREST_LEVEL,
  /** All levels, weighted by their evidence, over all runs that there ever were. */
  HIERARCHICAL_UNBOUNDED;

  /** The number of runs in one generation of the level's histograms. */
  int windowRuns(Level level) {
    return forgets() ? level.windowRuns : Integer.MAX_VALUE;
  }

  /** Whether old runs are forgotten, with time or when all has changed. */
  boolean forgets() {
    return this != HIERARCHICAL_UNBOUNDED;
  }
}
