import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer. Integers are Long or BigInteger, other numbers BigDecimal. */
final class J {
  private final String text;
  private int at;

  private J(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    J reader = new J(text);
    Object value = reader.value();
    reader.blanks();
    if (reader.at != text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  /** Builds an object from names and values in turn. */
  static Map<String, Object> of(Object... pairs) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < pairs.length; i += 2) {
      map.put((String) pairs[i], pairs[i + 1]);
    }
    return map;
  }

  @SuppressWarnings("unchecked")
  static List<Map<String, Object>> objects(Object list) {
    return list == null ? List.of() : (List<Map<String, Object>>) list;
  }

  static long num(Object number, long absent) {
    return number == null ? absent : ((Number) number).longValue();
  }

  static double dec(Object number, double absent) {
    return number == null ? absent : ((Number) number).doubleValue();
  }

  private void blanks() {
    while (at < text.length() && text.charAt(at) <= ' ') {
      at++;
    }
  }

  private Object value() {
    blanks();
    char c = text.charAt(at);
    if (c == '{') {
      return map();
    }
    if (c == '[') {
      return list();
    }
    if (c == '"') {
      return string();
    }
    if (text.startsWith("true", at)) {
      at += 4;
      return true;
    }
    if (text.startsWith("false", at)) {
      at += 5;
      return false;
    }
    if (text.startsWith("null", at)) {
      at += 4;
      return null;
    }
    int begin = at;
    while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String digits = text.substring(begin, at);
    if (digits.matches("-?[0-9]+")) {
      BigInteger whole = new BigInteger(digits);
      return whole.bitLength() < 64 ? (Object) whole.longValue() : whole;
    }
    return new BigDecimal(digits);
  }

  private Map<String, Object> map() {
    Map<String, Object> map = new LinkedHashMap<>();
    at++;
    blanks();
    while (text.charAt(at) != '}') {
      blanks();
      String name = string();
      blanks();
      at++;
      map.put(name, value());
      blanks();
      if (text.charAt(at) == ',') {
        at++;
        blanks();
      }
    }
    at++;
    return map;
  }

  private List<Object> list() {
    List<Object> list = new ArrayList<>();
    at++;
    blanks();
    while (text.charAt(at) != ']') {
      list.add(value());
      blanks();
      if (text.charAt(at) == ',') {
        at++;
        blanks();
      }
    }
    at++;
    return list;
  }

  private String string() {
    if (text.charAt(at) != '"') {
      throw new IllegalArgumentException("no string at " + at);
    }
    StringBuilder out = new StringBuilder();
    at++;
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
    at++;
    return out.toString();
  }

  static String text(Object value) {
    StringBuilder out = new StringBuilder();
    write(out, value);
    return out.toString();
  }

  private static void write(StringBuilder out, Object value) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        write(out, entry.getKey());
        out.append(':');
        write(out, entry.getValue());
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof Iterable<?> list) {
      out.append('[');
      String comma = "";
      for (Object item : list) {
        out.append(comma);
        write(out, item);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (int i = 0; i < string.length(); i++) {
        char c = string.charAt(i);
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }
}
