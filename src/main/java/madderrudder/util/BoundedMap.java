package madderrudder.util;

import java.io.Serial;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A map with a maximum number of entries: adding an entry to a full map evicts the eldest one.
 * Iteration starts with the entry that would be evicted next. Not thread-safe.
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

  /** Creates an empty map that evicts the entry that was added first. */
  public static <K, V> BoundedMap<K, V> evictingOldest(int maxEntries) {
    return new BoundedMap<>(maxEntries, false, evicted -> {});
  }

  /** Creates an empty map that evicts the least recently read or written entry. */
  public static <K, V> BoundedMap<K, V> evictingLeastRecentlyUsed(int maxEntries) {
    return evictingLeastRecentlyUsed(maxEntries, evicted -> {});
  }

  /**
   * Creates an empty map that evicts the least recently read or written entry.
   *
   * @param maxEntries the maximum number of entries
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
