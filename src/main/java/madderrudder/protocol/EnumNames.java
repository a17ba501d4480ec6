package madderrudder.protocol;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

/**
 * The mapping between the constants of an enum and their names on the wire, used for both reading
 * and writing.
 */
final class EnumNames<E extends Enum<E>> {
  private final Map<E, String> names;
  private final Map<String, E> values = new HashMap<>();

  EnumNames(Class<E> type) {
    names = new EnumMap<>(type);
  }

  /**
   * Adds a constant with its wire name, neither of which was added before; returns this mapping.
   */
  EnumNames<E> with(String name, E value) {
    names.put(value, name);
    values.put(name, value);
    return this;
  }

  /** The constant's name on the wire; null if it has none. */
  String nameOf(E value) {
    return names.get(value);
  }

  /** The constant with the wire name, or the default if no constant has it. */
  E valueOf(String name, E defaultValue) {
    return values.getOrDefault(name, defaultValue);
  }

  /**
   * The constant that is named by a text field of the object.
   *
   * @throws MalformedMessageException if the field is missing, not a string, or names no constant
   */
  E read(JsonFields in, String field) throws MalformedMessageException {
    String name = in.text(field);
    E value = values.get(name);
    if (value == null) {
      throw MalformedMessageException.ofField(field, "is invalid", name);
    }
    return value;
  }
}
