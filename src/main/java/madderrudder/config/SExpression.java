package madderrudder.config;

import java.util.List;

/** A parsed S-expression with the position where it begins, for use in error messages. */
public sealed interface SExpression {
  /** Returns the line where the expression begins, from 1. */
  int line();

  /** Returns the column where the expression begins, from 1. */
  int column();

  /**
   * A word, number or string.
   *
   * @param text the text, without the quotes of a string
   * @param line the line, from 1
   * @param column the column, from 1
   */
  record Atom(String text, int line, int column) implements SExpression {}

  /**
   * A list: expressions in parentheses.
   *
   * @param items the expressions in the list, in order
   * @param line the line of the opening parenthesis, from 1
   * @param column the column of the opening parenthesis, from 1
   */
  record ListExpression(List<SExpression> items, int line, int column) implements SExpression {}

  /**
   * Parses a text that holds exactly one expression; {@code ;} begins a comment that extends to the
   * end of the line.
   *
   * @throws MalformedSExpressionException if the text holds no expression, more than one, or a
   *     malformed one
   */
  static SExpression parse(String text) throws MalformedSExpressionException {
    return new SExpressionParser(text).parse();
  }
}
