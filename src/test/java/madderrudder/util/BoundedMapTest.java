package madderrudder.util;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class BoundedMapTest {
  private static void addThree(Map<String, Integer> map) {
    map.put("a", 1);
    map.put("b", 2);
    map.get("a");
    map.put("c", 3);
  }

  @Test
  void evictsTheEntryThatWasAddedFirst() {
    Map<String, Integer> map = BoundedMap.evictingOldest(2);
    addThree(map);
    assertEquals(Set.of("b", "c"), map.keySet());
  }

  @Test
  void evictsTheEntryThatWasUsedLeastRecently() {
    Map<String, Integer> map = BoundedMap.evictingLeastRecentlyUsed(2);
    addThree(map);
    assertEquals(Set.of("a", "c"), map.keySet());
  }
}
