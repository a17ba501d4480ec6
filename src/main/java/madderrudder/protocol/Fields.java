package madderrudder.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Checked access to the fields of one JSON object; a null field counts as an absent one. */
public final class Fields {
  private final Map<?, ?> map;

  Fields(Map<?, ?> map) {
    this.map = map;
  }

  /** The names of the fields that are there. */
  public List<String> names() {
    return map.keySet().stream().map(Object::toString).toList();
  }

  public boolean has(String name) {
    return map.get(name) != null;
  }

  public String text(String name) throws MalformedMessageException {
    if (map.get(name) instanceof String text) {
      return text;
    }
    throw wrong(name);
  }

  public String text(String name, String absent) throws MalformedMessageException {
    return has(name) ? text(name) : absent;
  }

  /** An integer from 0 to 2^63 - 1. */
  public long count(String name) throws MalformedMessageException {
    return count(map.get(name), name);
  }

  public long count(String name, long absent) throws MalformedMessageException {
    return has(name) ? count(name) : absent;
  }

  public int smallCount(String name) throws MalformedMessageException {
    long value = count(name);
    if (value > Integer.MAX_VALUE) {
      throw wrong(name);
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
        && number < (1L << 53)
        && number == Math.rint(number)) {
      return number.longValue();
    }
    throw wrong(name);
  }

  /** A finite decimal of at least 0. */
  public double amount(String name) throws MalformedMessageException {
    Object value = map.get(name);
    double number =
        value instanceof Long whole
            ? (double) whole
            : value instanceof Double decimal
                ? decimal
                : value instanceof BigInteger big ? big.doubleValue() : Double.NaN;
    if (!(number >= 0) || number > 1e15) {
      throw wrong(name);
    }
    return number;
  }

  public double amount(String name, double absent) throws MalformedMessageException {
    return has(name) ? amount(name) : absent;
  }

  /** A duration in seconds, as whole microseconds. */
  public long secondsAsMicros(String name) throws MalformedMessageException {
    double seconds = amount(name);
    if (seconds > 1e9) {
      throw wrong(name);
    }
    return Math.round(seconds * 1e6);
  }

  public long secondsAsMicros(String name, long absent) throws MalformedMessageException {
    return has(name) ? secondsAsMicros(name) : absent;
  }

  public boolean flag(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw wrong(name);
  }

  public boolean flag(String name, boolean absent) throws MalformedMessageException {
    return has(name) ? flag(name) : absent;
  }

  public Fields object(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Map<?, ?> object) {
      return new Fields(object);
    }
    throw wrong(name);
  }

  public List<Fields> objects(String name) throws MalformedMessageException {
    List<Fields> objects = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof Map<?, ?> object)) {
        throw wrong(name);
      }
      objects.add(new Fields(object));
    }
    return objects;
  }

  public List<String> texts(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object element : list(name)) {
      if (!(element instanceof String text)) {
        throw wrong(name);
      }
      texts.add(text);
    }
    return texts;
  }

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
    throw wrong(name);
  }

  /** The field's text or number as text, for tables; empty if it is absent. */
  public String plain(String name) {
    Object value = map.get(name);
    return value == null ? "" : value.toString();
  }

  /** This object again as JSON text. */
  public byte[] render() {
    return Json.render(out -> Json.writeTree(out, map));
  }

  private static MalformedMessageException wrong(String name) {
    return new MalformedMessageException("field " + name + " is missing or invalid");
  }
}
