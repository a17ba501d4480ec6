package madderrudder.util;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A map of at most so many entries: adding one more evicts the eldest. Iteration begins with the
 * entry that would be evicted next. Not safe for use by several threads.
 *
 * @param <K> the type of keys
 * @param <V> the type of values
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  @Serial private static final long serialVersionUID = 1;

  private static final int INITIAL_CAPACITY = 16;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;
  private final transient Consumer<V> onEviction;

  private BoundedMap(int maxEntries, boolean accessOrder, Consumer<V> onEviction) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, accessOrder);
    this.maxEntries = maxEntries;
    this.onEviction = onEviction;
  }

  /** An empty map that evicts the entry that was added first. */
  public static <K, V> BoundedMap<K, V> evictingOldest(int maxEntries) {
    return new BoundedMap<>(maxEntries, false, evicted -> {});
  }

  /** An empty map that evicts the entry that was neither read nor written for the longest time. */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(int maxEntries) {
    return evictingLeastRecentlyUsed(maxEntries, evicted -> {});
  }

  /**
   * An empty map that evicts the entry that was neither read nor written for the longest time.
   *
   * @param maxEntries how many entries it holds at the most
   * @param onEviction called with each evicted value, while it is still in the map
   */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(
      int maxEntries, Consumer<V> onEviction) {
    return new BoundedMap<>(maxEntries, true, onEviction);
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    if (size() <= maxEntries) {
      return false;
    }
    onEviction.accept(eldest.getValue());
    return true;
  }
}
