package madderrudder.coordination.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The leader's estimate of which images are in a machine's cache: the most recently used ones that
 * fit. The expiry of a lease does not clear it, because the worker then stops its tasks but keeps
 * its images.
 */
final class ImageCache {
  private final double capacityGb;
  private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  /** Creates an empty cache that holds images of the given total size. */
  ImageCache(double capacityGb) {
    this.capacityGb = capacityGb;
  }

  /** Whether the image is likely to be in the cache. */
  boolean contains(String image) {
    return sizesGb.containsKey(image);
  }

  /** How many images are likely to be in the cache. */
  int size() {
    return sizesGb.size();
  }

  /**
   * Marks the image as most recently used and evicts the least recently used ones that do not fit.
   */
  void recordUse(String image, double gb) {
    sizesGb.remove(image);
    sizesGb.put(image, gb);
    double totalGb = sizesGb.values().stream().mapToDouble(Double::doubleValue).sum();
    Iterator<Map.Entry<String, Double>> oldest = sizesGb.entrySet().iterator();
    while (totalGb > capacityGb && sizesGb.size() > 1) {
      totalGb -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
