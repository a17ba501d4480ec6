package madderrudder.estimates;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whether some machines, or types of machines, are slower than the rest, against what was expected
 * of their tasks. A faulty machine whose tasks run slow would otherwise teach that the tasks are
 * longer.
 */
final class Paces {
  /** As many names as the largest fleet has machines; the least used is forgotten. */
  private static final int MOST_NAMES = 4_096;

  private final double forgetting;
  private final Map<String, Mean> means =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
          if (size() <= MOST_NAMES) {
            return false;
          }
          count(eldest.getValue(), -1);
          return true;
        }
      };

  /**
   * Of all names: their weights, and their means times those. Names are compared with what these
   * give.
   */
  private double weights;

  private double weighted;

  /** What the latest runs of a name have been on average, and how many they were. */
  private static final class Mean {
    private double value;
    private int count;
  }

  /** Of the mean of a name, each further run takes so much of what was before. */
  Paces(double forgetting) {
    this.forgetting = forgetting;
  }

  /** A mean weighs as the runs that it goes by. */
  private void count(Mean mean, int sign) {
    double weight = Math.min(mean.count, 1 / forgetting);
    weights += sign * weight;
    weighted += sign * weight * mean.value;
  }

  void add(String name, double deviation) {
    if (name.isEmpty()) {
      return;
    }
    Mean mean = means.computeIfAbsent(name, n -> new Mean());
    count(mean, -1);
    mean.count++;
    mean.value += Math.max(forgetting, 1.0 / mean.count) * (deviation - mean.value);
    count(mean, 1);
  }

  /** Takes in what another has seen, each mean by its count. */
  void merge(Paces other) {
    other.means.forEach(
        (name, theirs) -> {
          Mean mean = means.computeIfAbsent(name, n -> new Mean());
          count(mean, -1);
          int both = mean.count + theirs.count;
          mean.value = (mean.value * mean.count + theirs.value * theirs.count) / both;
          mean.count = both;
          count(mean, 1);
        });
  }

  /**
   * How far the name's mean lies above that of all, or 0 before so many of its runs have been seen.
   */
  double beyondOthers(String name, int atLeast) {
    Mean mean = name.isEmpty() ? null : means.get(name);
    return mean == null || mean.count < atLeast ? 0 : mean.value - weighted / weights;
  }
}
