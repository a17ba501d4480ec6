package madderrudder.config;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.Addresses;

/**
 * Reads single settings and collects the problems found, so that all are reported at once. A
 * missing or invalid setting is replaced by a default with which reading can continue.
 */
final class SettingsProblems {
  private final List<String> problems = new ArrayList<>();

  /** Reads one field of a JSON object. */
  interface FieldReader<T> {
    T read() throws MalformedMessageException;
  }

  /** Returns whether no problem was found so far. */
  boolean isEmpty() {
    return problems.isEmpty();
  }

  /** Records a problem of the setting at the path. */
  void add(String path, String problem) {
    problems.add(path + ": " + problem);
  }

  /**
   * Throws if any problem was recorded.
   *
   * @throws InvalidSettingsException with all recorded problems
   */
  void throwIfAny() throws InvalidSettingsException {
    if (!problems.isEmpty()) {
      throw new InvalidSettingsException(problems);
    }
  }

  /**
   * Returns the value that the reader reads. If the field is missing or invalid, records this under
   * the path and returns the default.
   */
  <T> T readOrDefault(String path, T defaultValue, FieldReader<T> reader) {
    try {
      return reader.read();
    } catch (MalformedMessageException e) {
      add(path, e.getMessage());
      return defaultValue;
    }
  }

  /** Reads an IPv4 address with a port; empty if the field is missing or not a string. */
  String address(String path, JsonFields fields, String name) {
    String address = readOrDefault(path + name, "", () -> fields.text(name));
    if (!address.isEmpty() && !Addresses.isValid(address)) {
      add(
          path + name,
          "\"" + address + "\" is not an IPv4 address with a port, such as 10.0.0.1:8080");
    }
    return address;
  }

  /** Reads a number above 0; returns 1 if the field is missing or invalid. */
  double positiveAmount(String path, JsonFields fields, String name) {
    double value = readOrDefault(path + name, 1.0, () -> fields.amount(name));
    if (value <= 0) {
      add(path + name, "must be above 0, not " + value);
      return 1.0;
    }
    return value;
  }

  /** Reads a duration above 0 in seconds and returns it in microseconds; 1 s if invalid. */
  long positiveSecondsAsMicros(String path, JsonFields fields, String name) {
    return Math.round(positiveAmount(path, fields, name) * 1e6);
  }
}
