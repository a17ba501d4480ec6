package madderrudder.coordination.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The images that a machine is taken to have in its cache: those used last, as far as they fit. The
 * end of a lease does not clear it, since a worker then drops its tasks only.
 */
final class ImageCache {
  private final double capacityGb;
  private final LinkedHashMap<String, Double> sizesGb = new LinkedHashMap<>(16, 0.75f, true);

  ImageCache(double capacityGb) {
    this.capacityGb = capacityGb;
  }

  boolean contains(String image) {
    return sizesGb.containsKey(image);
  }

  int size() {
    return sizesGb.size();
  }

  /** Makes the image the one used last, and drops those used longest ago beyond the capacity. */
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
