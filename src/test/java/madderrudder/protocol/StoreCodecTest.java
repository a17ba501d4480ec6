package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import madderrudder.protocol.StoreCodec.KeyValue;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Guards against a state of the watched keys that depends on how the store lists the changes. */
class StoreCodecTest {
  private static final int CHANGES = 7;

  /** A change of one of two keys; every third change is a deletion. */
  private static String change(int revision) {
    String key = "l/" + revision % 2;
    return revision % 3 == 0
        ? "{\"drop\":\"" + key + "\",\"entry\":" + revision + "}"
        : "{\"write\":\""
            + key
            + "\",\"data\":{\"n\":"
            + revision
            + "},\"entry\":"
            + revision
            + "}";
  }

  @Provide
  Arbitrary<List<Integer>> orders() {
    return Arbitraries.shuffle(IntStream.rangeClosed(1, CHANGES).boxed().toList());
  }

  private static Map<String, Long> lastChangeOfEachKey(List<Integer> order)
      throws MalformedMessageException {
    String news =
        order.stream().map(StoreCodecTest::change).collect(Collectors.joining(",", "[", "]"));
    byte[] body = ("{\"logline\":9,\"news\":" + news + "}").getBytes(StandardCharsets.UTF_8);
    Map<String, Long> last = new LinkedHashMap<>();
    long revision = 0;
    for (KeyValue item : StoreCodec.readEvents(body).items()) {
      assertEquals(revision + 1, item.version(), "the revisions are not in order");
      revision = item.version();
      last.put(item.key(), item.value() == null ? -revision : revision);
    }
    return last;
  }

  @Property(seed = "51")
  void anyOrderOfTheSameChangesLeadsToTheSameState(@ForAll("orders") List<Integer> order)
      throws MalformedMessageException {
    assertEquals(Map.of("l/0", -6L, "l/1", 7L), lastChangeOfEachKey(order));
  }
}
