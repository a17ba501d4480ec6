package madderrudder.config;

import java.util.List;

/** A parsed S-expression with the place where it begins, so that mistakes can be pointed at. */
public sealed interface SExpression {
  /** The line where the expression begins, from 1. */
  int line();

  /** The column where the expression begins, from 1. */
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
   * Expressions in parentheses.
   *
   * @param items the expressions in their order
   * @param line the line of the opening parenthesis, from 1
   * @param column the column of the opening parenthesis, from 1
   */
  record Items(List<SExpression> items, int line, int column) implements SExpression {}

  /**
   * Reads the one expression of a text; {@code ;} begins a comment that ends with the line.
   *
   * @throws MalformedSExpressionException if the text holds none, or more than one, or is broken
   */
  static SExpression parse(String text) throws MalformedSExpressionException {
    return new SExpressionParser(text).parse();
  }
}
