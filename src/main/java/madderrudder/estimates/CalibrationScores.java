package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.IdentityHashMap;

/**
 * The standardized errors of recent predictions, by which later prediction intervals are widened or
 * narrowed. A handful of runs always look more alike than they are, and what drifts ends outside of
 * what was: these scores account for either, whatever the reason.
 */
final class CalibrationScores {
  /** The number of scores in one generation of a side's histogram. */
  static final int WINDOW = 256;

  /** Scores are stored in thousandths. */
  private static final double VALUES_PER_SCORE = 1_000;

  private static final double MAX_SCORE = 64;

  /** The distributions are built anew when one score in so many has come since. */
  private static final int REFRESH_DIVISOR = 32;

  private final WindowedHistogram above;
  private final WindowedHistogram below;

  /** The distribution of either side, as it was when it was last built. */
  private final IdentityHashMap<WindowedHistogram, PredictiveDistribution> distributions =
      new IdentityHashMap<>(4);

  private int scoresSinceRefresh;

  CalibrationScores() {
    this(new WindowedHistogram(WINDOW), new WindowedHistogram(WINDOW));
  }

  private CalibrationScores(WindowedHistogram above, WindowedHistogram below) {
    this.above = above;
    this.below = below;
  }

  /** Adds a standardized error; it is above 0 where the task took longer than its median. */
  void add(double score) {
    WindowedHistogram side = score > 0 ? above : below;
    if (++scoresSinceRefresh >= count() / REFRESH_DIVISOR) {
      distributions.clear();
      scoresSinceRefresh = 0;
    }
    double bounded = Math.min(MAX_SCORE, Math.abs(score));
    side.add(Math.max(1, Math.round(VALUES_PER_SCORE * bounded)));
  }

  int count() {
    return above.count() + below.count();
  }

  /**
   * The score that no more than the given share of all scores exceeds; 0 if no more of them are
   * above the median at all.
   */
  double quantileAbove(double tail) {
    return quantile(above, tail);
  }

  /** The same for scores below the median, as a number that is at least 0. */
  double quantileBelow(double tail) {
    return quantile(below, tail);
  }

  private double quantile(WindowedHistogram side, double tail) {
    // One more than were seen: where the next one ends is as likely to be beyond all of them as in
    // any other place.
    double tailOfSide = side.count() == 0 ? 1 : tail * (count() + 1) / side.count();
    if (tailOfSide >= 1) {
      return 0;
    }
    return distributions
        .computeIfAbsent(side, CalibrationScores::distribution)
        .quantile(1 - tailOfSide);
  }

  private static PredictiveDistribution distribution(WindowedHistogram side) {
    PredictiveDistribution distribution = new PredictiveDistribution();
    distribution.add(side, 1 / VALUES_PER_SCORE, 1);
    return distribution;
  }

  /** Takes in the scores of another. */
  void merge(CalibrationScores other) {
    above.merge(other.above);
    below.merge(other.below);
    distributions.clear();
  }

  /** The most bytes that {@link #write} needs. */
  int maxBytes() {
    return above.maxBytes() + below.maxBytes();
  }

  void write(ByteBuffer out) {
    above.write(out);
    below.write(out);
  }

  /** Reads what {@link #write} wrote; throws a RuntimeException if the bytes are something else. */
  static CalibrationScores read(ByteBuffer in) {
    return new CalibrationScores(
        WindowedHistogram.read(in, WINDOW), WindowedHistogram.read(in, WINDOW));
  }
}
