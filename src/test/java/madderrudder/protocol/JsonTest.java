package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against invalid JSON that is accepted, against deep nesting that overflows the stack, and
 * against numbers beyond the range of a double that change when they are written back.
 */
class JsonTest {
  private static byte[] json(String text) {
    return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "[]", "7", "{", "{}}", "{'a':1}x", "nul", "{'a':}"})
  void refusesTextThatIsNotOneObject(String text) {
    assertThrows(MalformedMessageException.class, () -> Json.readObject(json(text)));
  }

  @Test
  void refusesDeepNesting() {
    assertThrows(
        MalformedMessageException.class, () -> Json.readObject(json("{'a':" + "[".repeat(30_000))));
  }

  /**
   * Guards against a number beyond the range of a double that is read as infinity and then written
   * back as a string.
   */
  @Test
  void rendersNumbersBeyondDoubleRangeAsNumbers() throws MalformedMessageException {
    JsonFields read = Json.readObject(json("{'a':1e999,'b':-1e-999,'c':-1e99999999999999}"));
    assertEquals(
        "{\"a\":1e999,\"b\":-0.0,\"c\":-1e99999999999999}",
        new String(read.render(), StandardCharsets.UTF_8));
  }

  @Test
  void refusesNumbersBeyondDoubleRangeAsAmountsAndCounts() throws MalformedMessageException {
    JsonFields read = Json.readObject(json("{'a':1e999}"));
    assertThrows(MalformedMessageException.class, () -> read.amount("a"));
    assertThrows(MalformedMessageException.class, () -> read.count("a"));
  }

  @Test
  void writesErrorAsObject() {
    assertArrayEquals("{\"error\":\"a\"}".getBytes(StandardCharsets.UTF_8), Json.error("a"));
  }
}
