package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.IdentityHashMap;

/**
 * The standardized errors of recent predictions. Later prediction intervals are widened or narrowed
 * according to their quantiles. This corrects both for the underestimated variance of small samples
 * and for drift, which moves run times outside the range of earlier observations.
 */
final class CalibrationScores {
  /** The number of scores per generation in the histogram of each side of the median. */
  static final int GENERATION_SIZE = 256;

  /** Histogram values are scores in thousandths. */
  private static final double UNITS_PER_SCORE = 1_000;

  private static final double MAX_SCORE = 64;

  /**
   * The cached distributions are rebuilt when the number of new scores reaches the total count
   * divided by this number.
   */
  private static final int REFRESH_DIVISOR = 32;

  private final WindowedHistogram above;
  private final WindowedHistogram below;

  /** The distribution of each side as of the last refresh; a missing one is built on demand. */
  private final IdentityHashMap<WindowedHistogram, PredictiveDistribution> cachedDistributions =
      new IdentityHashMap<>(4);

  private int scoresSinceRefresh;

  CalibrationScores() {
    this(new WindowedHistogram(GENERATION_SIZE), new WindowedHistogram(GENERATION_SIZE));
  }

  private CalibrationScores(WindowedHistogram above, WindowedHistogram below) {
    this.above = above;
    this.below = below;
  }

  /** Adds a standardized error, which is positive if the run time exceeds the predicted median. */
  void add(double score) {
    WindowedHistogram side = score > 0 ? above : below;
    if (++scoresSinceRefresh >= count() / REFRESH_DIVISOR) {
      cachedDistributions.clear();
      scoresSinceRefresh = 0;
    }
    double bounded = Math.min(MAX_SCORE, Math.abs(score));
    side.add(Math.max(1, Math.round(UNITS_PER_SCORE * bounded)));
  }

  /** The number of scores on both sides of the median. */
  int count() {
    return above.count() + below.count();
  }

  /**
   * The score that is exceeded by at most the given share of all scores; 0 if the share of positive
   * scores is not larger than that.
   */
  double quantileAbove(double tailProbability) {
    return quantile(above, tailProbability);
  }

  /** Like {@link #quantileAbove}, for the absolute values of scores below the median. */
  double quantileBelow(double tailProbability) {
    return quantile(below, tailProbability);
  }

  private double quantile(WindowedHistogram side, double tailProbability) {
    // Finite-sample correction of conformal prediction: the next score is equally likely to fall
    // into each of the n + 1 gaps between n observed scores, including the gap beyond all of them.
    double tailProbabilityOfSide =
        side.count() == 0 ? 1 : tailProbability * (count() + 1) / side.count();
    if (tailProbabilityOfSide >= 1) {
      return 0;
    }
    return cachedDistributions
        .computeIfAbsent(side, CalibrationScores::distribution)
        .quantile(1 - tailProbabilityOfSide);
  }

  private static PredictiveDistribution distribution(WindowedHistogram side) {
    PredictiveDistribution distribution = new PredictiveDistribution();
    distribution.add(side, 1 / UNITS_PER_SCORE, 1);
    return distribution;
  }

  /** Adds all scores of the other instance. */
  void merge(CalibrationScores other) {
    above.merge(other.above);
    below.merge(other.below);
    cachedDistributions.clear();
  }

  /** The maximum number of bytes that {@link #write} writes. */
  int maxBytes() {
    return above.maxBytes() + below.maxBytes();
  }

  /** Writes the histograms of both sides to the buffer. */
  void write(ByteBuffer out) {
    above.write(out);
    below.write(out);
  }

  /** Reads the format of {@link #write}; throws a RuntimeException if the bytes are invalid. */
  static CalibrationScores read(ByteBuffer in) {
    return new CalibrationScores(
        WindowedHistogram.read(in, GENERATION_SIZE), WindowedHistogram.read(in, GENERATION_SIZE));
  }
}
