package madderrudder.estimates;

import java.util.Arrays;

/**
 * A mixture of histograms, each with its weight, as one distribution of run times in microseconds.
 * Its density is constant within each bucket. Components are added first; quantiles may be asked
 * for once there is at least one.
 */
final class PredictiveDistribution {
  /**
   * The density of the prior, from a fourth of the owner's estimate to four times it in steps of
   * the square root of two: mostly the estimate is wrong by less than half.
   */
  private static final double[] PRIOR = {1, 2, 4, 6, 8, 6, 4, 2, 1};

  private static final double PRIOR_TOTAL = 34;
  private static final double HALF_PRIOR_STEP = Math.pow(2, 0.25);

  /**
   * Bits of a sort key that say which bound of which bucket it is; each level has a few hundred
   * buckets at most.
   */
  private static final int INDEX_BITS = 13;

  private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

  private static final int INITIAL_BUCKETS = 64;

  private double[] lowerBounds = new double[INITIAL_BUCKETS];
  private double[] upperBounds = new double[INITIAL_BUCKETS];
  private double[] weights = new double[INITIAL_BUCKETS];
  private int size;
  private double totalWeight;

  /**
   * The bounds of all buckets in rising order, and the weight below each; null until they are asked
   * for.
   */
  private double[] bounds;

  private double[] weightBelowBound;

  /** Adds a histogram, its values multiplied by the scale, with the weight altogether. */
  void add(WindowedHistogram histogram, double scale, double weight) {
    WindowedHistogram.Buckets buckets = histogram.buckets();
    double weightOfValue = weight / histogram.count();
    for (int i = 0; i < buckets.size(); i++) {
      addBucket(
          buckets.lowerBounds()[i] * scale,
          buckets.upperBounds()[i] * scale,
          weightOfValue * buckets.counts()[i]);
    }
    totalWeight += weight;
  }

  /** Adds the prior around the owner's estimate, for what is known where nothing has run. */
  void addPrior(double ownerEstimateMicros, double weight) {
    for (int i = 0; i < PRIOR.length; i++) {
      double middle = ownerEstimateMicros * Math.pow(2, (i - PRIOR.length / 2) / 2.0);
      addBucket(
          middle / HALF_PRIOR_STEP, middle * HALF_PRIOR_STEP, weight * PRIOR[i] / PRIOR_TOTAL);
    }
    totalWeight += weight;
  }

  private void addBucket(double lowerBound, double upperBound, double weight) {
    if (size == lowerBounds.length) {
      lowerBounds = Arrays.copyOf(lowerBounds, 2 * size);
      upperBounds = Arrays.copyOf(upperBounds, 2 * size);
      weights = Arrays.copyOf(weights, 2 * size);
    }
    lowerBounds[size] = lowerBound;
    upperBounds[size] = upperBound;
    weights[size++] = weight;
    bounds = null;
  }

  /** Sums up the weight below each bound, over all bounds in rising order. */
  private void accumulate() {
    if (bounds != null) {
      return;
    }
    long[] keys = sortedKeys();
    bounds = new double[keys.length];
    weightBelowBound = new double[keys.length];
    double density = 0;
    for (int j = 0; j < keys.length; j++) {
      int index = (int) (keys[j] & INDEX_MASK);
      int bucket = index / 2;
      boolean isLowerBound = index % 2 == 0;
      bounds[j] = isLowerBound ? lowerBounds[bucket] : upperBounds[bucket];
      if (j > 0) {
        double added = Math.max(0, density * (bounds[j] - bounds[j - 1]));
        weightBelowBound[j] = weightBelowBound[j - 1] + added;
      }
      double weight = isLowerBound ? weights[bucket] : -weights[bucket];
      density += weight / (upperBounds[bucket] - lowerBounds[bucket]);
    }
  }

  /**
   * The bounds as keys that sort quickly: positive doubles have the order of their bits, and the
   * lowest bits, which don't matter for the order, say which bound it is.
   */
  private long[] sortedKeys() {
    long[] keys = new long[2 * size];
    for (int i = 0; i < size; i++) {
      keys[2 * i] = key(lowerBounds[i], 2L * i);
      keys[2 * i + 1] = key(upperBounds[i], 2L * i + 1);
    }
    Arrays.sort(keys);
    return keys;
  }

  private static long key(double bound, long index) {
    return (Double.doubleToLongBits(bound) >>> INDEX_BITS << INDEX_BITS) | index;
  }

  /** The share of the distribution below the time, from 0 to 1. */
  double cumulativeProbability(double micros) {
    double below = 0;
    for (int i = 0; i < size; i++) {
      double part = (micros - lowerBounds[i]) / (upperBounds[i] - lowerBounds[i]);
      below += weights[i] * clampToUnit(part);
    }
    return below / totalWeight;
  }

  /** The time in microseconds that the share of the distribution, from 0 to 1, lies below. */
  double quantile(double probability) {
    accumulate();
    int last = bounds.length - 1;
    double target = Math.min(probability * totalWeight, weightBelowBound[last]);
    int upper = 1;
    while (upper < last && weightBelowBound[upper] < target) {
      upper++;
    }
    int lower = upper - 1;
    double weightBetween = weightBelowBound[upper] - weightBelowBound[lower];
    if (weightBetween <= 0) {
      return bounds[upper];
    }
    double part = clampToUnit((target - weightBelowBound[lower]) / weightBetween);
    return bounds[lower] + (bounds[upper] - bounds[lower]) * part;
  }

  /**
   * The quantile of the distribution of those that take longer than the time; the time itself if
   * none does. A time of 0 or less conditions on nothing.
   */
  double conditionalQuantile(double elapsedMicros, double probability) {
    if (elapsedMicros <= 0) {
      return quantile(probability);
    }
    double elapsed = cumulativeProbability(elapsedMicros);
    return Math.max(elapsedMicros, quantile(elapsed + probability * (1 - elapsed)));
  }

  private static double clampToUnit(double value) {
    return Math.max(0, Math.min(1, value));
  }
}
