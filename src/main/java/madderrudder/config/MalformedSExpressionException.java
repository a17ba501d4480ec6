package madderrudder.config;

import java.io.Serial;

/**
 * Thrown when a text is not a valid S-expression, or has an unexpected expression at some position.
 */
public final class MalformedSExpressionException extends Exception {
  @Serial private static final long serialVersionUID = 1;

  private final int line;
  private final int column;

  /**
   * Creates an exception for a position in the text.
   *
   * @param line the line, from 1
   * @param column the column, from 1
   * @param problem a description of the error
   */
  public MalformedSExpressionException(int line, int column, String problem) {
    super("line " + line + ", column " + column + ": " + problem);
    this.line = line;
    this.column = column;
  }

  /** Creates an exception for the position where the expression begins. */
  MalformedSExpressionException(SExpression expression, String problem) {
    this(expression.line(), expression.column(), problem);
  }

  /** Returns the line of the error, from 1. */
  public int line() {
    return line;
  }

  /** Returns the column of the error, from 1. */
  public int column() {
    return column;
  }
}
