package madderrudder.config;

import java.io.Serial;

/** A text that is no S-expression, or not the one that is expected at that place. */
public final class MalformedSExpressionException extends Exception {
  @Serial private static final long serialVersionUID = 1;

  private final int line;
  private final int column;

  /**
   * Creates one for a place in the text.
   *
   * @param line the line, from 1
   * @param column the column, from 1
   * @param problem what is wrong there
   */
  public MalformedSExpressionException(int line, int column, String problem) {
    super("line " + line + ", column " + column + ": " + problem);
    this.line = line;
    this.column = column;
  }

  /** Creates one for the place where an expression begins. */
  MalformedSExpressionException(SExpression where, String problem) {
    this(where.line(), where.column(), problem);
  }

  /** The line of the mistake, from 1. */
  public int line() {
    return line;
  }

  /** The column of the mistake, from 1. */
  public int column() {
    return column;
  }
}
