package madderrudder.protocol;

import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Type-checked access to the fields of one JSON object. A field whose value is null counts as
 * absent.
 *
 * <p>Each method that reads a required field throws a {@link MalformedMessageException} that names
 * the field if the field is absent, has another type or is out of range. Each method with a default
 * value returns it if the field is absent, and throws if the field is present and invalid.
 */
public final class JsonFields {
  private static final double MAX_AMOUNT = 1e15;
  private static final double MAX_SECONDS = 1e9;

  /** All integers below this limit are exact as doubles. */
  private static final long EXACT_DOUBLE_LIMIT = 1L << 53;

  private final Map<?, ?> fields;

  JsonFields(Map<?, ?> fields) {
    this.fields = fields;
  }

  /** The names of all fields, including those whose value is null. */
  public List<String> names() {
    return fields.keySet().stream().map(Object::toString).toList();
  }

  /** Whether the field is present and not null. */
  public boolean has(String name) {
    return fields.get(name) != null;
  }

  /** Returns a string field. */
  public String text(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof String text) {
      return text;
    }
    throw invalid(name);
  }

  /** Returns a string field, or the default. */
  public String text(String name, String defaultValue) throws MalformedMessageException {
    return has(name) ? text(name) : defaultValue;
  }

  /** Returns an integer field from 0 to 2^63 - 1. */
  public long count(String name) throws MalformedMessageException {
    return count(fields.get(name), name);
  }

  /** Returns an integer field from 0 to 2^63 - 1, or the default. */
  public long count(String name, long defaultValue) throws MalformedMessageException {
    return has(name) ? count(name) : defaultValue;
  }

  /** Returns an integer field from 0 to 2^31 - 1. */
  public int intCount(String name) throws MalformedMessageException {
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
    // An integer may also be written as 4.0 or 4e0; a fraction is refused.
    if (value instanceof Double number
        && number >= 0
        && number < EXACT_DOUBLE_LIMIT
        && number == Math.rint(number)) {
      return number.longValue();
    }
    throw MalformedMessageException.missingOrInvalid(name, value);
  }

  /** Returns a decimal field from 0 to 10^15. */
  public double amount(String name) throws MalformedMessageException {
    double number = toDouble(fields.get(name));
    if (!(number >= 0) || number > MAX_AMOUNT) {
      throw invalid(name);
    }
    return number;
  }

  /** Returns a decimal field from 0 to 10^15, or the default. */
  public double amount(String name, double defaultValue) throws MalformedMessageException {
    return has(name) ? amount(name) : defaultValue;
  }

  /** Returns a decimal field from 0 to 10^15 with all its digits. */
  public BigDecimal decimal(String name) throws MalformedMessageException {
    double rounded = amount(name);
    Object value = fields.get(name);
    if (value instanceof BigDecimal exact) {
      return exact;
    }
    return value instanceof Long whole ? BigDecimal.valueOf(whole) : BigDecimal.valueOf(rounded);
  }

  /** Returns a decimal field from 0 to 10^15 with all its digits, or the default. */
  public BigDecimal decimal(String name, BigDecimal defaultValue) throws MalformedMessageException {
    return has(name) ? decimal(name) : defaultValue;
  }

  /** Converts the value to a double; NaN if it is not a number or is beyond a double's range. */
  private static double toDouble(Object value) {
    if (value instanceof Long whole) {
      return whole;
    }
    if (value instanceof Double decimal) {
      return decimal;
    }
    if (value instanceof BigDecimal exact) {
      return exact.doubleValue();
    }
    if (value instanceof BigInteger big) {
      return big.doubleValue();
    }
    return Double.NaN;
  }

  /** Returns a duration field, in seconds from 0 to 10^9, rounded to whole microseconds. */
  public long secondsAsMicros(String name) throws MalformedMessageException {
    double seconds = amount(name);
    if (seconds > MAX_SECONDS) {
      throw invalid(name);
    }
    return Math.round(seconds * 1e6);
  }

  /** Returns a duration field in seconds as microseconds, or the default, in microseconds. */
  public long secondsAsMicros(String name, long defaultMicros) throws MalformedMessageException {
    return has(name) ? secondsAsMicros(name) : defaultMicros;
  }

  /** Returns a boolean field. */
  public boolean flag(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw invalid(name);
  }

  /** Returns a boolean field, or the default. */
  public boolean flag(String name, boolean defaultValue) throws MalformedMessageException {
    return has(name) ? flag(name) : defaultValue;
  }

  /** Returns a field that is an object. */
  public JsonFields object(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof Map<?, ?> object) {
      return new JsonFields(object);
    }
    throw invalid(name);
  }

  /** Returns a field that is an array of objects. */
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

  /** Returns a field that is an array of strings. */
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

  /** Returns a field that is an array of integers from 0 to 2^63 - 1. */
  public List<Long> counts(String name) throws MalformedMessageException {
    List<Long> counts = new ArrayList<>();
    for (Object element : list(name)) {
      counts.add(count(element, name));
    }
    return counts;
  }

  private List<?> list(String name) throws MalformedMessageException {
    if (fields.get(name) instanceof List<?> list) {
      return list;
    }
    throw invalid(name);
  }

  /** Returns the field's string or number as text for a table cell; empty if it is absent. */
  public String asPlainText(String name) {
    Object value = fields.get(name);
    return value == null ? "" : value.toString();
  }

  /** Returns this object as JSON text, with all its fields, in UTF-8. */
  public byte[] render() {
    return Json.render(out -> Json.writeValue(out, fields));
  }

  private MalformedMessageException invalid(String name) {
    return MalformedMessageException.missingOrInvalid(name, fields.get(name));
  }
}
