package madderrudder.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.Items;
import madderrudder.protocol.MutatedDocuments;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;

/** Settings, of the platform or the operators, end in a value or in a complaint that says where. */
class SettingsPropertiesTest {
  private static final Pattern PLACE = Pattern.compile("line ([0-9]+), column ([0-9]+): .+");

  /** An expression without its places. */
  private sealed interface Tree {
    record Word(String text) implements Tree {
      @Override
      public String toString() {
        return text.isEmpty()
                || text.chars().anyMatch(c -> Character.isWhitespace(c) || "();".indexOf(c) >= 0)
            ? '"' + text + '"'
            : text;
      }
    }

    record Branch(List<Tree> items) implements Tree {
      @Override
      public String toString() {
        return items.stream()
            .map(Tree::toString)
            .collect(Collectors.joining(" ", "( ; a comment (\n", "\t)"));
      }
    }
  }

  private static Tree withoutPlaces(SExpression expression) {
    return expression instanceof Items list
        ? new Tree.Branch(list.items().stream().map(SettingsPropertiesTest::withoutPlaces).toList())
        : new Tree.Word(((Atom) expression).text());
  }

  private static Arbitrary<Tree> trees(int depth) {
    Arbitrary<Tree> words =
        Arbitraries.strings()
            .withCharRange(' ', '~')
            .withChars('\u20ac', '\n', '\t')
            .excludeChars('"')
            .ofMaxLength(12)
            .map(Tree.Word::new);
    return depth == 0
        ? words
        : Arbitraries.frequencyOf(
            Tuple.of(2, words),
            Tuple.of(
                1,
                Arbitraries.lazy(() -> trees(depth - 1))
                    .list()
                    .ofMaxSize(5)
                    .map(Tree.Branch::new)));
  }

  @Provide
  Arbitrary<Tree> trees() {
    return trees(5);
  }

  @Property(seed = "41")
  void anExpressionReadsBackTheSame(@ForAll("trees") Tree tree)
      throws MalformedSExpressionException {
    assertEquals(tree, withoutPlaces(SExpression.parse(tree.toString())));
  }

  @Provide
  Arbitrary<String> nearlySettings() {
    Arbitrary<String> pieces =
        Arbitraries.of(
            "(madderrudder",
            "(",
            ")",
            " ",
            "\n",
            "\"",
            ";",
            "(budget 10)",
            "(spot always)",
            "(headroom 0.1)",
            "(hold-s 3)",
            "(budget",
            "1e999",
            "NaN",
            "-1",
            "Infinity",
            "0x1p3",
            "\u0130",
            "(patience 1d)",
            "(idle-s \"20\")",
            "(".repeat(40),
            "\u0000",
            "\ud800");
    return pieces.list().ofMaxSize(14).map(list -> "(madderrudder " + String.join("", list) + ")");
  }

  @Property(seed = "42", tries = 3000)
  void operatorSettingsAreTakenOrTheMistakeIsPointedAt(@ForAll("nearlySettings") String text) {
    boolean taken = true;
    try {
      OperatorSettings.parse(text);
    } catch (MalformedSExpressionException e) {
      taken = false;
      Matcher place = PLACE.matcher(e.getMessage());
      assertTrue(place.lookingAt(), e.getMessage());
      List<String> lines = List.of(text.split("\n", -1));
      int line = Integer.parseInt(place.group(1));
      assertEquals(line, e.line());
      assertEquals(Integer.parseInt(place.group(2)), e.column());
      assertTrue(line >= 1 && line <= lines.size(), e.getMessage());
      assertTrue(
          Integer.parseInt(place.group(2)) <= lines.get(line - 1).length() + 1, e.getMessage());
    }
    Statistics.collect(taken);
    Statistics.coverage(coverage -> coverage.check(true).percentage(share -> share > 1));
  }

  @Provide
  Arbitrary<byte[]> platformSettings() {
    return MutatedDocuments.mutationsOf(SettingsTest.GOOD);
  }

  @Property(seed = "43", tries = 2000)
  void platformSettingsAreTakenOrEachProblemIsNamed(@ForAll("platformSettings") byte[] text) {
    boolean taken = true;
    try {
      PlatformSettings.parse(text);
    } catch (InvalidSettingsException e) {
      taken = false;
      assertFalse(e.problems().isEmpty());
      assertTrue(e.problems().stream().noneMatch(String::isBlank), e.getMessage());
    }
    Statistics.collect(taken);
    Statistics.coverage(
        coverage -> coverage.check(true).percentage(share -> share > 5 && share < 90));
  }
}
