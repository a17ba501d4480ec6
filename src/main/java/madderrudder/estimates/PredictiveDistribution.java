package madderrudder.estimates;

import java.util.Arrays;

/**
 * A weighted mixture of histograms, as a distribution of run times in microseconds whose density is
 * constant within each bucket of a component. At least one component must be added before the first
 * query for a quantile or probability.
 */
final class PredictiveDistribution {
  /**
   * The relative weights of the prior's buckets, whose centers range from a quarter of the owner's
   * estimate to four times it in steps of a factor of the square root of 2. Most owners' estimates
   * are wrong by less than half.
   */
  private static final double[] PRIOR_BUCKET_WEIGHTS = {1, 2, 4, 6, 8, 6, 4, 2, 1};

  private static final double PRIOR_TOTAL_WEIGHT = 34;

  /** The factor from a bucket's center to its upper bound. */
  private static final double HALF_PRIOR_STEP_FACTOR = Math.pow(2, 0.25);

  /**
   * The number of low bits of a sort key that hold the index of a bound. They suffice for 4,096
   * buckets; each level has at most a few hundred.
   */
  private static final int INDEX_BITS = 13;

  private static final int INDEX_MASK = (1 << INDEX_BITS) - 1;

  private static final int INITIAL_BUCKETS = 64;

  private double[] lowerBounds = new double[INITIAL_BUCKETS];
  private double[] upperBounds = new double[INITIAL_BUCKETS];
  private double[] weights = new double[INITIAL_BUCKETS];
  private int size;
  private double totalWeight;

  /** The bounds of all buckets in ascending order; null until they are computed on demand. */
  private double[] bounds;

  /** The cumulative weight below each element of {@code bounds}. */
  private double[] weightBelowBound;

  /** Adds a histogram with the given total weight, its values multiplied by the scale. */
  void add(WindowedHistogram histogram, double scale, double weight) {
    WindowedHistogram.Buckets buckets = histogram.buckets();
    double weightPerValue = weight / histogram.count();
    for (int i = 0; i < buckets.size(); i++) {
      addBucket(
          buckets.lowerBounds()[i] * scale,
          buckets.upperBounds()[i] * scale,
          weightPerValue * buckets.counts()[i]);
    }
    totalWeight += weight;
  }

  /** Adds the prior around the owner's estimate with the given total weight. */
  void addPrior(double ownerEstimateMicros, double weight) {
    for (int i = 0; i < PRIOR_BUCKET_WEIGHTS.length; i++) {
      double middle =
          ownerEstimateMicros * Math.pow(2, (i - PRIOR_BUCKET_WEIGHTS.length / 2) / 2.0);
      addBucket(
          middle / HALF_PRIOR_STEP_FACTOR,
          middle * HALF_PRIOR_STEP_FACTOR,
          weight * PRIOR_BUCKET_WEIGHTS[i] / PRIOR_TOTAL_WEIGHT);
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

  /** Computes the cumulative weight below each bound, unless it is up to date. */
  private void computeCumulativeWeights() {
    if (bounds != null) {
      return;
    }
    long[] keys = sortedBoundKeys();
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
   * The bounds as sorted integer keys, which is faster than sorting objects. Positive doubles are
   * ordered like their bit patterns. The lowest bits, whose effect on the order is negligible, hold
   * the index of the bound: twice the index of the bucket, plus 1 for its upper bound.
   */
  private long[] sortedBoundKeys() {
    long[] keys = new long[2 * size];
    for (int i = 0; i < size; i++) {
      keys[2 * i] = boundKey(lowerBounds[i], 2L * i);
      keys[2 * i + 1] = boundKey(upperBounds[i], 2L * i + 1);
    }
    Arrays.sort(keys);
    return keys;
  }

  private static long boundKey(double bound, long index) {
    return (Double.doubleToLongBits(bound) >>> INDEX_BITS << INDEX_BITS) | index;
  }

  /** The probability of a run time below the given time, from 0 to 1. */
  double cumulativeProbability(double micros) {
    double below = 0;
    for (int i = 0; i < size; i++) {
      double fraction = (micros - lowerBounds[i]) / (upperBounds[i] - lowerBounds[i]);
      below += weights[i] * clampToUnit(fraction);
    }
    return below / totalWeight;
  }

  /** The quantile of the run time, in microseconds, at the probability from 0 to 1. */
  double quantile(double probability) {
    computeCumulativeWeights();
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
    double fraction = clampToUnit((target - weightBelowBound[lower]) / weightBetween);
    return bounds[lower] + (bounds[upper] - bounds[lower]) * fraction;
  }

  /**
   * The quantile of the run time, conditional on run times longer than the elapsed time; the
   * elapsed time itself if none is longer. Unconditional if the elapsed time is 0 or negative.
   */
  double conditionalQuantile(double elapsedMicros, double probability) {
    if (elapsedMicros <= 0) {
      return quantile(probability);
    }
    double probabilityElapsed = cumulativeProbability(elapsedMicros);
    return Math.max(
        elapsedMicros, quantile(probabilityElapsed + probability * (1 - probabilityElapsed)));
  }

  private static double clampToUnit(double value) {
    return Math.max(0, Math.min(1, value));
  }
}
