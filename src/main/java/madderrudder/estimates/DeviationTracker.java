package madderrudder.estimates;

import java.util.Map;
import madderrudder.util.BoundedMap;

/**
 * Moving averages of deviations from predictions, one for each name, compared with the average of
 * all names. Without it, a faulty machine whose tasks run slowly would teach that the tasks are
 * longer.
 */
final class DeviationTracker {
  /** As many names as the largest fleet has machines; the least recently used is forgotten. */
  private static final int MAX_NAMES = 4_096;

  private final double smoothingFactor;
  private final Map<String, Mean> means =
      BoundedMap.evictingLeastRecentlyUsed(MAX_NAMES, mean -> addToTotals(mean, -1));

  /** The sum of the weights of all means. */
  private double totalWeight;

  /** The sum of all means times their weights. */
  private double weightedSum;

  /** The average of the latest deviations of a name, and how many there have been. */
  private static final class Mean {
    private double value;
    private int count;
  }

  /** {@code smoothingFactor} is the part of a mean that the latest deviation makes up. */
  DeviationTracker(double smoothingFactor) {
    this.smoothingFactor = smoothingFactor;
  }

  /** A mean weighs as much as the number of runs that it effectively averages. */
  private void addToTotals(Mean mean, int sign) {
    double weight = Math.min(mean.count, 1 / smoothingFactor);
    totalWeight += sign * weight;
    weightedSum += sign * weight * mean.value;
  }

  /** Adds a deviation; an empty name is left out. */
  void add(String name, double deviation) {
    if (name.isEmpty()) {
      return;
    }
    Mean mean = means.computeIfAbsent(name, added -> new Mean());
    addToTotals(mean, -1);
    mean.count++;
    mean.value += Math.max(smoothingFactor, 1.0 / mean.count) * (deviation - mean.value);
    addToTotals(mean, 1);
  }

  /** Takes in what another has seen, each mean by its count. */
  void merge(DeviationTracker other) {
    other.means.forEach(
        (name, theirs) -> {
          Mean mean = means.computeIfAbsent(name, added -> new Mean());
          addToTotals(mean, -1);
          int both = mean.count + theirs.count;
          mean.value = (mean.value * mean.count + theirs.value * theirs.count) / both;
          mean.count = both;
          addToTotals(mean, 1);
        });
  }

  /**
   * How far the mean of the name lies above the mean of all; 0 if the name is empty or has fewer
   * than {@code minCount} deviations.
   */
  double deviationFromOthers(String name, int minCount) {
    Mean mean = name.isEmpty() ? null : means.get(name);
    if (mean == null || mean.count < minCount) {
      return 0;
    }
    return mean.value - weightedSum / totalWeight;
  }
}
