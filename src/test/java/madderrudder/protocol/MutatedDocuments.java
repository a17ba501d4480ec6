package madderrudder.protocol;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.RandomDistribution;

/**
 * Generates random mutations of a valid JSON document: a few of its values or pieces of its text
 * are replaced.
 */
public final class MutatedDocuments {
  /** A string, number or literal; group 1 holds the colon if the string is a field name. */
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
  private static final String[] TEXT_PIECES = {
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

  private MutatedDocuments() {}

  /**
   * One replacement in a document.
   *
   * @param replacesValue whether it replaces a whole value; otherwise it replaces text anywhere
   * @param position selects the value or the text offset, modulo the number of choices
   * @param replacement selects the new value, or the new piece of text and the number of characters
   *     that it replaces, modulo the number of choices
   */
  private record Edit(boolean replacesValue, int position, int replacement) {
    String apply(String text) {
      if (!replacesValue) {
        int offset = Math.floorMod(position, text.length() + 1);
        return text.substring(0, offset)
            + TEXT_PIECES[Math.floorMod(replacement, TEXT_PIECES.length)]
            + text.substring(Math.min(text.length(), offset + Math.floorMod(replacement, 3)));
      }
      List<int[]> valueRanges =
          TOKEN
              .matcher(text)
              .results()
              .filter(match -> match.group(1) == null)
              .map(match -> new int[] {match.start(), match.end()})
              .toList();
      if (valueRanges.isEmpty()) {
        return text;
      }
      int[] range = valueRanges.get(Math.floorMod(position, valueRanges.size()));
      return text.substring(0, range[0])
          + VALUES[Math.floorMod(replacement, VALUES.length)]
          + text.substring(range[1]);
    }
  }

  /** Generates uniformly distributed integers from 0 to the bound, exclusive. */
  private static Arbitrary<Integer> uniform(int bound) {
    return Arbitraries.integers()
        .between(0, bound - 1)
        .withDistribution(RandomDistribution.uniform())
        .withoutEdgeCases();
  }

  /**
   * Generates documents that result from up to three edits of the valid document, in UTF-8. One
   * edit in six replaces text, which mostly breaks the JSON syntax; the others replace a value.
   */
  public static Arbitrary<byte[]> mutationsOf(String valid) {
    Arbitrary<Edit> edit =
        Combinators.combine(uniform(6), uniform(10_000), uniform(10_000))
            .as((kind, position, replacement) -> new Edit(kind > 0, position, replacement));
    return edit.list()
        .ofMaxSize(3)
        .map(
            edits -> {
              String text = valid;
              for (Edit next : edits) {
                text = next.apply(text);
              }
              return text.getBytes(StandardCharsets.UTF_8);
            });
  }
}
