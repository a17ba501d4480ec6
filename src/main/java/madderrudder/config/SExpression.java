package madderrudder.config;

import java.util.ArrayList;
import java.util.List;

/** A parsed S-expression with the place where it begins, so that mistakes can be pointed at. */
public sealed interface SExpression {
  int line();

  int column();

  /** A word, number or string. */
  record Atom(String text, int line, int column) implements SExpression {}

  /** Expressions in parentheses. */
  record Items(List<SExpression> items, int line, int column) implements SExpression {}

  /** A text that is no S-expression. */
  final class Malformed extends Exception {
    public Malformed(int line, int column, String message) {
      super("line " + line + ", column " + column + ": " + message);
    }
  }

  /** Reads the one expression of a text; {@code ;} begins a comment. */
  static SExpression parse(String text) throws Malformed {
    Reader reader = new Reader(text);
    SExpression expression = reader.next(0);
    if (expression == null) {
      throw new Malformed(reader.line, reader.column, "expected an expression");
    }
    reader.blanks();
    if (reader.at < text.length()) {
      throw new Malformed(reader.line, reader.column, "text after the expression");
    }
    return expression;
  }

  /** Walks over the text, counting lines and columns. */
  final class Reader {
    private static final int MAX_DEPTH = 32;

    private final String text;
    private int at;
    private int line = 1;
    private int column = 1;

    private Reader(String text) {
      this.text = text;
    }

    private void step() {
      if (text.charAt(at++) == '\n') {
        line++;
        column = 1;
      } else {
        column++;
      }
    }

    private void blanks() {
      while (at < text.length()) {
        if (text.charAt(at) == ';') {
          while (at < text.length() && text.charAt(at) != '\n') {
            step();
          }
        } else if (Character.isWhitespace(text.charAt(at))) {
          step();
        } else {
          return;
        }
      }
    }

    /** The next expression, or null at the end of the text or before a closing parenthesis. */
    private SExpression next(int depth) throws Malformed {
      blanks();
      if (at == text.length() || (text.charAt(at) == ')' && depth > 0)) {
        return null;
      }
      int startLine = line;
      int startColumn = column;
      if (depth > MAX_DEPTH) {
        throw new Malformed(line, column, "nested too deeply");
      }
      return switch (text.charAt(at)) {
        case ')' -> throw new Malformed(line, column, "unexpected )");
        case '(' -> list(depth, startLine, startColumn);
        case '"' -> string(startLine, startColumn);
        default -> word(startLine, startColumn);
      };
    }

    private SExpression list(int depth, int startLine, int startColumn) throws Malformed {
      step();
      List<SExpression> items = new ArrayList<>();
      for (SExpression item = next(depth + 1); item != null; item = next(depth + 1)) {
        items.add(item);
      }
      if (at == text.length()) {
        throw new Malformed(startLine, startColumn, "( without )");
      }
      step();
      return new Items(items, startLine, startColumn);
    }

    private SExpression string(int startLine, int startColumn) throws Malformed {
      step();
      int from = at;
      while (at < text.length() && text.charAt(at) != '"') {
        step();
      }
      if (at == text.length()) {
        throw new Malformed(startLine, startColumn, "string without end");
      }
      String content = text.substring(from, at);
      step();
      return new Atom(content, startLine, startColumn);
    }

    private SExpression word(int startLine, int startColumn) {
      int from = at;
      while (at < text.length()
          && "();\"".indexOf(text.charAt(at)) < 0
          && !Character.isWhitespace(text.charAt(at))) {
        step();
      }
      return new Atom(text.substring(from, at), startLine, startColumn);
    }
  }
}
