package madderrudder.estimates;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A map of bounded size that forgets the least recently used entry. Iteration begins with the least
 * recently used one.
 */
final class LruMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1L;
  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final int maxEntries;
  private final transient Consumer<V> onEviction;

  LruMap(int maxEntries) {
    this(maxEntries, evicted -> {});
  }

  /** The consumer is called with each value that is forgotten, while it is still in the map. */
  LruMap(int maxEntries, Consumer<V> onEviction) {
    super(INITIAL_CAPACITY, LOAD_FACTOR, true);
    this.maxEntries = maxEntries;
    this.onEviction = onEviction;
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
