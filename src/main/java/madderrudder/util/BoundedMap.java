package madderrudder.util;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map of at most so many entries: adding one more evicts the eldest. Not safe for use by several
 * threads.
 *
 * @param <K> the type of keys
 * @param <V> the type of values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  @Serial private static final long serialVersionUID = 1;

  private final int maxEntries;

  private BoundedMap(int maxEntries, boolean accessOrder) {
    super(16, 0.75f, accessOrder);
    this.maxEntries = maxEntries;
  }

  /** An empty map that evicts the entry that was added first. */
  public static <K, V> BoundedMap<K, V> evictingOldest(int maxEntries) {
    return new BoundedMap<>(maxEntries, false);
  }

  /** An empty map that evicts the entry that was neither read nor written for the longest time. */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(int maxEntries) {
    return new BoundedMap<>(maxEntries, true);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
