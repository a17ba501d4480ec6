package madderrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;

/**
 * Documents that are nearly right: a good one of which a few values were replaced, or a few pieces
 * of text.
 */
public final class Documents {
  /** A value, or a name with the colon behind it in a group. */
  private static final Pattern TOKEN =
      Pattern.compile("\"(?:[^\"\\\\]|\\\\.)*\"(\\s*:)?|-?[0-9][0-9.eE+-]*|true|false|null");

  private static final String[] VALUES = {
    "null",
    "true",
    "0",
    "-1",
    "1",
    "7.5",
    "1e999",
    "1e300",
    "-0.0",
    "1e-300",
    "18446744073709551615",
    "9223372036854775807",
    "9223372036854775808",
    "2147483648",
    "100001",
    "\"\"",
    "\" \"",
    "\"a b c\"",
    "\"\\ud800\"",
    "\"\\udc00x\"",
    "\"\\u0001\\u0000\"",
    "\"\\u20ac\\ud83d\\ude00\"",
    "\"req-1/99999999\"",
    "\"req-000001/3\"",
    "\"/\"",
    "\"east\"",
    "[]",
    "{}",
    "[[]]",
    "[null]",
    "[\"\"]",
    "{\"a\":1}",
    "\"" + "x".repeat(300) + "\""
  };
  private static final String[] PIECES = {
    "",
    "\"",
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\\",
    "\u0000",
    "null",
    "1e",
    "-",
    "\u00e9",
    "//",
    "{\"a\":".repeat(70)
  };

  private Documents() {}

  /** One replacement: of the {@code where}-th value, or of the text at that place. */
  private record Edit(boolean ofValue, int where, int what) {
    String apply(String text) {
      if (!ofValue) {
        int at = Math.floorMod(where, text.length() + 1);
        return text.substring(0, at)
            + PIECES[Math.floorMod(what, PIECES.length)]
            + text.substring(Math.min(text.length(), at + Math.floorMod(what, 3)));
      }
      List<int[]> places =
          TOKEN
              .matcher(text)
              .results()
              .filter(found -> found.group(1) == null)
              .map(found -> new int[] {found.start(), found.end()})
              .toList();
      if (places.isEmpty()) {
        return text;
      }
      int[] place = places.get(Math.floorMod(where, places.size()));
      return text.substring(0, place[0])
          + VALUES[Math.floorMod(what, VALUES.length)]
          + text.substring(place[1]);
    }
  }

  /** Numbers below the bound, each as likely as the others. */
  private static Arbitrary<Integer> uniform(int bound) {
    return Arbitraries.integers()
        .between(0, bound - 1)
        .withDistribution(RandomDistribution.uniform())
        .withoutEdgeCases();
  }

  /** Nearly right forms of the good document, one in six of them with its text broken too. */
  public static Arbitrary<byte[]> nearly(String good) {
    Arbitrary<Edit> edit =
        Combinators.combine(uniform(6), uniform(10_000), uniform(10_000))
            .as((kind, where, what) -> new Edit(kind > 0, where, what));
    return edit.list()
        .ofMaxSize(3)
        .map(
            edits -> {
              String text = good;
              for (Edit one : edits) {
                text = one.apply(text);
              }
              return text.getBytes(StandardCharsets.UTF_8);
            });
  }
}
