package madderrudder.estimates;

import java.util.Map;
import madderrudder.util.BoundedMap;

/**
 * Tracks a moving average of deviations from predictions for each name of a machine or machine
 * type, and compares it with the average over all names. Slow runs on a faulty machine can thus be
 * told apart from tasks that take longer; otherwise the estimates of these tasks would increase.
 */
final class DeviationTracker {
  /** Enough for every machine of the largest fleet; the least recently used name is evicted. */
  private static final int MAX_NAMES = 4_096;

  private final double smoothingFactor;
  private final Map<String, MovingAverage> averages =
      BoundedMap.evictingLeastRecentlyUsed(MAX_NAMES, average -> addToTotals(average, -1));

  /** The sum of the weights of all averages. */
  private double totalWeight;

  /** The sum of all averages, each multiplied by its weight. */
  private double weightedSum;

  /** The moving average of the deviations of a name, and their number. */
  private static final class MovingAverage {
    private double value;
    private int count;
  }

  /** {@code smoothingFactor} is the weight of the latest deviation in a moving average. */
  DeviationTracker(double smoothingFactor) {
    this.smoothingFactor = smoothingFactor;
  }

  /**
   * Adds the average to the totals (sign 1) or subtracts it (sign -1). Its weight is its effective
   * sample size.
   */
  private void addToTotals(MovingAverage average, int sign) {
    double weight = Math.min(average.count, 1 / smoothingFactor);
    totalWeight += sign * weight;
    weightedSum += sign * weight * average.value;
  }

  /** Adds a deviation of the name; ignores an empty name. */
  void add(String name, double deviation) {
    if (name.isEmpty()) {
      return;
    }
    MovingAverage average = averages.computeIfAbsent(name, added -> new MovingAverage());
    addToTotals(average, -1);
    average.count++;
    average.value += Math.max(smoothingFactor, 1.0 / average.count) * (deviation - average.value);
    addToTotals(average, 1);
  }

  /** Merges the averages of the other tracker into this one, weighted by their counts. */
  void merge(DeviationTracker other) {
    other.averages.forEach(
        (name, otherAverage) -> {
          MovingAverage average = averages.computeIfAbsent(name, added -> new MovingAverage());
          addToTotals(average, -1);
          int totalCount = average.count + otherAverage.count;
          average.value =
              (average.value * average.count + otherAverage.value * otherAverage.count)
                  / totalCount;
          average.count = totalCount;
          addToTotals(average, 1);
        });
  }

  /**
   * The average of the name minus the weighted average over all names; 0 if the name is empty or
   * has fewer than {@code minCount} deviations.
   */
  double deviationFromAverage(String name, int minCount) {
    MovingAverage average = name.isEmpty() ? null : averages.get(name);
    if (average == null || average.count < minCount) {
      return 0;
    }
    return average.value - weightedSum / totalWeight;
  }
}
