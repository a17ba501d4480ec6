package madderrudder.config;

import java.util.ArrayList;
import java.util.List;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.Items;

/** Walks once over a text, counting lines and columns. */
final class SExpressionParser {
  private static final int MAX_DEPTH = 32;
  private static final String ENDS_OF_WORD = "();\"";

  private final String text;
  private int position;
  private int line = 1;
  private int column = 1;

  SExpressionParser(String text) {
    this.text = text;
  }

  /** The one expression of the text. */
  SExpression parse() throws MalformedSExpressionException {
    skipBlanks();
    if (atEnd()) {
      throw malformed("expected an expression");
    }
    SExpression expression = next(0);
    skipBlanks();
    if (!atEnd()) {
      throw malformed("text after the expression");
    }
    return expression;
  }

  private MalformedSExpressionException malformed(String problem) {
    return new MalformedSExpressionException(line, column, problem);
  }

  private boolean atEnd() {
    return position == text.length();
  }

  private char current() {
    return text.charAt(position);
  }

  private void step() {
    if (current() == '\n') {
      line++;
      column = 1;
    } else {
      column++;
    }
    position++;
  }

  private void skipBlanks() {
    while (!atEnd()) {
      if (current() == ';') {
        skipComment();
      } else if (Character.isWhitespace(current())) {
        step();
      } else {
        return;
      }
    }
  }

  private void skipComment() {
    while (!atEnd() && current() != '\n') {
      step();
    }
  }

  /** The expression that begins here; blanks before it have been skipped. */
  private SExpression next(int depth) throws MalformedSExpressionException {
    if (depth > MAX_DEPTH) {
      throw malformed("nested too deeply");
    }
    return switch (current()) {
      case ')' -> throw malformed("unexpected )");
      case '(' -> list(depth);
      case '"' -> string();
      default -> word();
    };
  }

  private SExpression list(int depth) throws MalformedSExpressionException {
    int startLine = line;
    int startColumn = column;
    step();
    List<SExpression> items = new ArrayList<>();
    skipBlanks();
    while (!atEnd() && current() != ')') {
      items.add(next(depth + 1));
      skipBlanks();
    }
    if (atEnd()) {
      throw new MalformedSExpressionException(startLine, startColumn, "( without )");
    }
    step();
    return new Items(items, startLine, startColumn);
  }

  private SExpression string() throws MalformedSExpressionException {
    int startLine = line;
    int startColumn = column;
    step();
    int from = position;
    while (!atEnd() && current() != '"') {
      step();
    }
    if (atEnd()) {
      throw new MalformedSExpressionException(startLine, startColumn, "string without end");
    }
    String content = text.substring(from, position);
    step();
    return new Atom(content, startLine, startColumn);
  }

  private SExpression word() {
    int startLine = line;
    int startColumn = column;
    int from = position;
    while (!atEnd() && ENDS_OF_WORD.indexOf(current()) < 0 && !Character.isWhitespace(current())) {
      step();
    }
    return new Atom(text.substring(from, position), startLine, startColumn);
  }
}
