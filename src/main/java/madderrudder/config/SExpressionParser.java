package madderrudder.config;

import java.util.ArrayList;
import java.util.List;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.ListExpression;

/** A recursive-descent parser that tracks the line and column of its position in the text. */
final class SExpressionParser {
  private static final int MAX_NESTING_DEPTH = 32;
  private static final String WORD_DELIMITERS = "();\"";

  private final String text;
  private int position;
  private int line = 1;
  private int column = 1;

  SExpressionParser(String text) {
    this.text = text;
  }

  /** Parses the text, which must hold exactly one expression. */
  SExpression parse() throws MalformedSExpressionException {
    skipWhitespaceAndComments();
    if (atEnd()) {
      throw malformed("expected an expression");
    }
    SExpression expression = parseExpression(0);
    skipWhitespaceAndComments();
    if (!atEnd()) {
      throw malformed("unexpected text after the expression");
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

  private void advance() {
    if (current() == '\n') {
      line++;
      column = 1;
    } else {
      column++;
    }
    position++;
  }

  private void skipWhitespaceAndComments() {
    while (!atEnd()) {
      if (current() == ';') {
        skipComment();
      } else if (Character.isWhitespace(current())) {
        advance();
      } else {
        return;
      }
    }
  }

  private void skipComment() {
    while (!atEnd() && current() != '\n') {
      advance();
    }
  }

  /** Parses the expression that begins at the current position, which is not whitespace. */
  private SExpression parseExpression(int depth) throws MalformedSExpressionException {
    if (depth > MAX_NESTING_DEPTH) {
      throw malformed("nested too deeply");
    }
    return switch (current()) {
      case ')' -> throw malformed("unexpected )");
      case '(' -> parseList(depth);
      case '"' -> parseString();
      default -> parseWord();
    };
  }

  private SExpression parseList(int depth) throws MalformedSExpressionException {
    int startLine = line;
    int startColumn = column;
    advance();
    List<SExpression> items = new ArrayList<>();
    skipWhitespaceAndComments();
    while (!atEnd() && current() != ')') {
      items.add(parseExpression(depth + 1));
      skipWhitespaceAndComments();
    }
    if (atEnd()) {
      throw new MalformedSExpressionException(startLine, startColumn, "( without a matching )");
    }
    advance();
    return new ListExpression(items, startLine, startColumn);
  }

  private SExpression parseString() throws MalformedSExpressionException {
    int startLine = line;
    int startColumn = column;
    advance();
    int start = position;
    while (!atEnd() && current() != '"') {
      advance();
    }
    if (atEnd()) {
      throw new MalformedSExpressionException(startLine, startColumn, "unterminated string");
    }
    String content = text.substring(start, position);
    advance();
    return new Atom(content, startLine, startColumn);
  }

  private SExpression parseWord() {
    int startLine = line;
    int startColumn = column;
    int start = position;
    while (!atEnd()
        && WORD_DELIMITERS.indexOf(current()) < 0
        && !Character.isWhitespace(current())) {
      advance();
    }
    return new Atom(text.substring(start, position), startLine, startColumn);
  }
}
