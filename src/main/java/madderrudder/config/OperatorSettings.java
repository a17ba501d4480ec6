package madderrudder.config;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.Items;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.OperatorPolicy.SpotMode;

/**
 * Reads the operators' own settings: {@code (madderrudder (threshold-s 20) ...)}. What is left out
 * has its default.
 */
public final class OperatorSettings {
  private static final String ROOT = "madderrudder";
  private static final Set<String> NAMES =
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
   * Reads the settings from the text of the file.
   *
   * @throws MalformedSExpressionException if the text is broken, names a setting that does not
   *     exist or twice, or a value is not within its bounds
   */
  public static OperatorPolicy parse(String text) throws MalformedSExpressionException {
    Map<String, Atom> values = new HashMap<>();
    for (SExpression setting : settings(SExpression.parse(text))) {
      putSetting(setting, values);
    }
    return new OperatorSettings(values).policy();
  }

  private static List<SExpression> settings(SExpression root) throws MalformedSExpressionException {
    if (!(root instanceof Items list)
        || list.items().isEmpty()
        || !(list.items().get(0) instanceof Atom head)
        || !head.text().equals(ROOT)) {
      throw new MalformedSExpressionException(1, 1, "expected (" + ROOT + " ...)");
    }
    return list.items().subList(1, list.items().size());
  }

  private static void putSetting(SExpression setting, Map<String, Atom> values)
      throws MalformedSExpressionException {
    if (!(setting instanceof Items pair)
        || pair.items().size() != 2
        || !(pair.items().get(0) instanceof Atom name)
        || !(pair.items().get(1) instanceof Atom value)) {
      throw new MalformedSExpressionException(setting, "expected (name value)");
    }
    if (!NAMES.contains(name.text())) {
      throw new MalformedSExpressionException(name, "unknown setting " + name.text());
    }
    if (values.put(name.text(), value) != null) {
      throw new MalformedSExpressionException(name, name.text() + " is set twice");
    }
  }

  private OperatorPolicy policy() throws MalformedSExpressionException {
    OperatorPolicy defaults = OperatorPolicy.defaults();
    return new OperatorPolicy(
        micros("threshold-s", 0, 86_400, defaults.rentalThresholdMicros()),
        micros("poll-s", 0.1, 3_600, defaults.scaleOutIntervalMicros()),
        (int) number("budget", 0, 1_000_000, defaults.budget()),
        micros("budget-window-s", 1, 604_800, defaults.budgetWindowMicros()),
        micros("idle-s", 1, 86_400, defaults.idleMicros()),
        spotMode("spot", defaults.spotMode()),
        micros("hold-s", 1, 60, defaults.leaseMicros()),
        number("headroom", 0, 0.9, defaults.headroom()),
        number("patience", 0, 1, defaults.spotWaitShare()),
        isOn("deputies", defaults.delegationEnabled()),
        isOn("learned-run-times", defaults.learnedRunTimes()));
  }

  private SpotMode spotMode(String name, SpotMode otherwise) throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return otherwise;
    }
    try {
      return SpotMode.valueOf(value.text().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw wrongValue(value, "never, uncounted or always");
    }
  }

  private boolean isOn(String name, boolean otherwise) throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return otherwise;
    }
    return switch (value.text()) {
      case "on" -> true;
      case "off" -> false;
      default -> throw wrongValue(value, "on or off");
    };
  }

  /** A time that is given in seconds, in microseconds. */
  private long micros(String name, double leastS, double mostS, long otherwiseMicros)
      throws MalformedSExpressionException {
    return values.containsKey(name)
        ? Math.round(number(name, leastS, mostS, 0) * 1e6)
        : otherwiseMicros;
  }

  private double number(String name, double least, double most, double otherwise)
      throws MalformedSExpressionException {
    Atom value = values.get(name);
    if (value == null) {
      return otherwise;
    }
    try {
      double number = Double.parseDouble(value.text());
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one complaint below.
    }
    throw wrongValue(value, "a number from " + least + " to " + most);
  }

  private static MalformedSExpressionException wrongValue(Atom value, String expected) {
    return new MalformedSExpressionException(
        value, "expected " + expected + ", not \"" + value.text() + '"');
  }
}
