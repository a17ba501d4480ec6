package madderrudder.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checked access to the fields of one JSON object; a null field counts as an absent one.
 *
 * <p>Each reading method throws {@link MalformedMessageException}, with the field's name, if the
 * field is absent or not what the method reads. Those that take a default return it if the field is
 * absent, and throw if it is there and invalid.
 */
public final class JsonFields {
  private static final double MAX_AMOUNT = 1e15;
  private static final double MAX_SECONDS = 1e9;

  /** Integers below this are exact as doubles. */
  private static final long MAX_EXACT_DOUBLE = 1L << 53;

  private final Map<?, ?> map;

  JsonFields(Map<?, ?> map) {
    this.map = map;
  }

  /** The names of the fields that are there. */
  public List<String> names() {
    return map.keySet().stream().map(Object::toString).toList();
  }

  /** Whether the field is there and not null. */
  public boolean has(String name) {
    return map.get(name) != null;
  }

  /** A string. */
  public String text(String name) throws MalformedMessageException {
    if (map.get(name) instanceof String text) {
      return text;
    }
    throw invalid(name);
  }

  /** A string, or the default. */
  public String text(String name, String defaultValue) throws MalformedMessageException {
    return has(name) ? text(name) : defaultValue;
  }

  /** An integer from 0 to 2^63 - 1. */
  public long count(String name) throws MalformedMessageException {
    return count(map.get(name), name);
  }

  /** An integer from 0 to 2^63 - 1, or the default. */
  public long count(String name, long defaultValue) throws MalformedMessageException {
    return has(name) ? count(name) : defaultValue;
  }

  /** An integer from 0 to 2^31 - 1. */
  public int smallCount(String name) throws MalformedMessageException {
    long value = count(name);
    if (value > Integer.MAX_VALUE) {
      throw invalid(name);
    }
    return (int) value;
  }

  private static long count(Object value, String name) throws MalformedMessageException {
    if (value instanceof Long number && number >= 0) {
      return number;
    }
    // A count may also come written as 4.0 or 4e0; a fraction may not.
    if (value instanceof Double number
        && number >= 0
        && number < MAX_EXACT_DOUBLE
        && number == Math.rint(number)) {
      return number.longValue();
    }
    throw MalformedMessageException.missingOrInvalid(name, value);
  }

  /** A decimal from 0 to 10^15. */
  public double amount(String name) throws MalformedMessageException {
    double number = number(map.get(name));
    if (!(number >= 0) || number > MAX_AMOUNT) {
      throw invalid(name);
    }
    return number;
  }

  /** A decimal from 0 to 10^15, or the default. */
  public double amount(String name, double defaultValue) throws MalformedMessageException {
    return has(name) ? amount(name) : defaultValue;
  }

  /** The value as a double; not a number if it is none. */
  private static double number(Object value) {
    if (value instanceof Long whole) {
      return whole;
    }
    if (value instanceof Double decimal) {
      return decimal;
    }
    if (value instanceof BigInteger big) {
      return big.doubleValue();
    }
    return Double.NaN;
  }

  /** A duration in seconds, at most 10^9, as whole microseconds. */
  public long secondsAsMicros(String name) throws MalformedMessageException {
    double seconds = amount(name);
    if (seconds > MAX_SECONDS) {
      throw invalid(name);
    }
    return Math.round(seconds * 1e6);
  }

  /** A duration in seconds as whole microseconds, or the default in microseconds. */
  public long secondsAsMicros(String name, long defaultMicros) throws MalformedMessageException {
    return has(name) ? secondsAsMicros(name) : defaultMicros;
  }

  /** A truth value. */
  public boolean flag(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw invalid(name);
  }

  /** A truth value, or the default. */
  public boolean flag(String name, boolean defaultValue) throws MalformedMessageException {
    return has(name) ? flag(name) : defaultValue;
  }

  /** An object. */
  public JsonFields object(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Map<?, ?> object) {
      return new JsonFields(object);
    }
    throw invalid(name);
  }

  /** An array of objects. */
  public List<JsonFields> objects(String name) throws MalformedMessageException {
    List<JsonFields> objects = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof Map<?, ?> object)) {
        throw invalid(name);
      }
      objects.add(new JsonFields(object));
    }
    return objects;
  }

  /** An array of strings. */
  public List<String> texts(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof String text)) {
        throw invalid(name);
      }
      texts.add(text);
    }
    return texts;
  }

  /** An array of integers from 0 to 2^63 - 1. */
  public List<Long> counts(String name) throws MalformedMessageException {
    List<Long> counts = new ArrayList<>();
    for (Object element : list(name)) {
      counts.add(count(element, name));
    }
    return counts;
  }

  private List<?> list(String name) throws MalformedMessageException {
    if (map.get(name) instanceof List<?> list) {
      return list;
    }
    throw invalid(name);
  }

  /** The field's string or number as text, for tables; empty if the field is absent. */
  public String plain(String name) {
    Object value = map.get(name);
    return value == null ? "" : value.toString();
  }

  /** This object as JSON text again. */
  public byte[] render() {
    return Json.render(out -> Json.writeTree(out, map));
  }

  private MalformedMessageException invalid(String name) {
    return MalformedMessageException.missingOrInvalid(name, map.get(name));
  }
}
