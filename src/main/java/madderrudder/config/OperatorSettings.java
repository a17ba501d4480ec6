package madderrudder.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.ListExpression;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.OperatorPolicy.SpotMode;

/**
 * Reads the operators' settings, an S-expression of the form {@code (madderrudder (threshold-s 20)
 * ...)}. A setting that is left out has its default.
 */
public final class OperatorSettings {
  private static final String ROOT_NAME = "madderrudder";
  private static final Set<String> SETTING_NAMES =
      Set.of(
          "threshold-s",
          "poll-s",
          "budget",
          "budget-window-s",
          "idle-s",
          "spot",
          "hold-s",
          "headroom",
          "patience",
          "deputies",
          "learned-run-times");

  private final Map<String, Atom> values;

  private OperatorSettings(Map<String, Atom> values) {
    this.values = values;
  }

  /**
   * Parses and validates the contents of the settings file.
   *
   * @throws MalformedSExpressionException if the text is not an S-expression of the expected form,
   *     names an unknown setting, sets one twice, or has an invalid value
   */
  public static OperatorPolicy parse(String text) throws MalformedSExpressionException {
    Map<String, Atom> values = new HashMap<>();
    for (SExpression setting : settingsIn(SExpression.parse(text))) {
      putSetting(setting, values);
    }
    return new OperatorSettings(values).toPolicy();
  }

  private static List<SExpression> settingsIn(SExpression root)
      throws MalformedSExpressionException {
    if (!(root instanceof ListExpression list)
        || list.items().isEmpty()
        || !(list.items().get(0) instanceof Atom head)
        || !head.text().equals(ROOT_NAME)) {
      throw new MalformedSExpressionException(1, 1, "expected (" + ROOT_NAME + " ...)");
    }
    return list.items().subList(1, list.items().size());
  }

  private static void putSetting(SExpression setting, Map<String, Atom> values)
      throws MalformedSExpressionException {
    if (!(setting instanceof ListExpression pair)
        || pair.items().size() != 2
        || !(pair.items().get(0) instanceof Atom name)
        || !(pair.items().get(1) instanceof Atom value)) {
      throw new MalformedSExpressionException(setting, "expected (name value)");
    }
    if (!SETTING_NAMES.contains(name.text())) {
      throw new MalformedSExpressionException(name, "unknown setting " + name.text());
    }
    if (values.put(name.text(), value) != null) {
      throw new MalformedSExpressionException(name, name.text() + " is set twice");
    }
  }

  private OperatorPolicy toPolicy() throws MalformedSExpressionException {
    OperatorPolicy defaults = OperatorPolicy.defaults();
    return new OperatorPolicy(
        secondsAsMicros("threshold-s", 0, 86_400, defaults.rentalThresholdMicros()),
        secondsAsMicros("poll-s", 0.1, 3_600, defaults.scaleOutIntervalMicros()),
        (int) number("budget", 0, 1_000_000, defaults.budget()),
        secondsAsMicros("budget-window-s", 1, 604_800, defaults.budgetWindowMicros()),
        secondsAsMicros("idle-s", 1, 86_400, defaults.idleMicros()),
        spotMode("spot", defaults.spotMode()),
        secondsAsMicros("hold-s", 1, 60, defaults.leaseMicros()),
        number("headroom", 0, 0.9, defaults.headroom()),
        number("patience", 0, 1, defaults.spotWaitShare()),
        isOn("deputies", defaults.delegationEnabled()),
        isOn("learned-run-times", defaults.learnedRunTimes()));
  }

  private SpotMode spotMode(String name, SpotMode defaultMode)
      throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return defaultMode;
    }
    try {
      return SpotMode.valueOf(value.text().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw invalidValue(value, "never, uncounted or always");
    }
  }

  private boolean isOn(String name, boolean defaultValue) throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return defaultValue;
    }
    return switch (value.text()) {
      case "on" -> true;
      case "off" -> false;
      default -> throw invalidValue(value, "on or off");
    };
  }

  /** Returns a duration, which the file gives in seconds, in microseconds. */
  private long secondsAsMicros(
      String name, double minSeconds, double maxSeconds, long defaultMicros)
      throws MalformedSExpressionException {
    return values.containsKey(name)
        ? Math.round(number(name, minSeconds, maxSeconds, 0) * 1e6)
        : defaultMicros;
  }

  private double number(String name, double min, double max, double defaultValue)
      throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return defaultValue;
    }
    try {
      double number = Double.parseDouble(value.text());
      if (number >= min && number <= max) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number that is out of bounds.
    }
    throw invalidValue(value, "a number from " + min + " to " + max);
  }

  private static MalformedSExpressionException invalidValue(Atom value, String expected) {
    return new MalformedSExpressionException(
        value, "expected " + expected + ", not \"" + value.text() + '"');
  }
}
