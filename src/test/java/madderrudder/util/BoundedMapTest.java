package madderrudder.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks which entry a full map evicts in either eviction order. */
class BoundedMapTest {
  /** Adds a, b and c, and reads a before c is added. */
  private static void addThreeEntries(Map<String, Integer> map) {
    map.put("a", 1);
    map.put("b", 2);
    map.get("a");
    map.put("c", 3);
  }

  @Test
  void evictsEntryAddedFirst() {
    Map<String, Integer> map = BoundedMap.evictingOldest(2);
    addThreeEntries(map);
    assertEquals(Set.of("b", "c"), map.keySet());
  }

  @Test
  void evictsLeastRecentlyUsedEntry() {
    Map<String, Integer> map = BoundedMap.evictingLeastRecentlyUsed(2);
    addThreeEntries(map);
    assertEquals(Set.of("a", "c"), map.keySet());
  }
}
