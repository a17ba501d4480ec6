package madderrudder.config;

import java.util.ArrayList;
import java.util.List;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.Addresses;

/**
 * Reads single settings and collects what is wrong with them, so that all mistakes are reported at
 * once. A setting that is wrong gets a harmless value, with which the reading goes on.
 */
final class SettingsProblems {
  private final List<String> problems = new ArrayList<>();

  /** Reads one field. */
  interface FieldReader<T> {
    T read() throws MalformedMessageException;
  }

  /** Whether nothing is wrong so far. */
  boolean none() {
    return problems.isEmpty();
  }

  /** Notes that the setting at the path is wrong. */
  void add(String path, String problem) {
    problems.add(path + ": " + problem);
  }

  /**
   * Ends the reading if anything is wrong.
   *
   * @throws InvalidSettingsException with all problems
   */
  void throwIfAny() throws InvalidSettingsException {
    if (!problems.isEmpty()) {
      throw new InvalidSettingsException(problems);
    }
  }

  /** The value that is read, or the other one if the field is missing or invalid. */
  <T> T read(String path, T otherwise, FieldReader<T> reader) {
    try {
      return reader.read();
    } catch (MalformedMessageException e) {
      add(path, e.getMessage());
      return otherwise;
    }
  }

  /** An address with a port; empty if it is wrong. */
  String address(String path, JsonFields in, String name) {
    String address = read(path + name, "", () -> in.text(name));
    if (!address.isEmpty() && !Addresses.isValid(address)) {
      add(path + name, "\"" + address + "\" is not an address like 10.0.0.1:8080");
    }
    return address;
  }

  /** A number above 0; 1 if it is wrong. */
  double positive(String path, JsonFields in, String name) {
    double value = read(path + name, 1.0, () -> in.amount(name));
    if (value <= 0) {
      add(path + name, "must be above 0, not " + value);
      return 1.0;
    }
    return value;
  }

  /** A time above 0 that is given in seconds, in microseconds. */
  long positiveMicros(String path, JsonFields in, String name) {
    return Math.round(positive(path, in, name) * 1e6);
  }
}
