package madderrudder.protocol;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The names that the values of an enum have on the wire, each written down once for reading and
 * writing.
 */
final class EnumNames<E extends Enum<E>> {
  private final Map<E, String> names;
  private final Map<String, E> values = new HashMap<>();

  EnumNames(Class<E> type) {
    names = new EnumMap<>(type);
  }

  /** Adds a value with its name; both are used once. */
  EnumNames<E> with(String name, E value) {
    names.put(value, name);
    values.put(name, value);
    return this;
  }

  /** The value's name on the wire; null if it has none. */
  String nameOf(E value) {
    return names.get(value);
  }

  /** The value with that name, or the default if no value has it. */
  E valueOf(String name, E defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /** The value that the object's field names; the message is malformed if there is none. */
  E read(JsonFields in, String field) throws MalformedMessageException {
    String name = in.text(field);
    E value = values.get(name);
    if (value == null) {
      throw MalformedMessageException.ofField(field, "is invalid", name);
    }
    return value;
  }
}
