package madderrudder.config;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import madderrudder.config.SExpression.Atom;
import madderrudder.config.SExpression.Items;
import madderrudder.config.SExpression.Malformed;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.coordination.policy.OperatorPolicy.SpotMode;

/**
 * The operators' own settings: {@code (madderrudder (threshold-s 20) ...)}; what is left out has
 * its default.
 */
public final class OperatorSettings {
  private static final String ROOT = "madderrudder";

  private OperatorSettings() {}

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

  public static OperatorPolicy parse(String text) throws Malformed {
    if (!(SExpression.parse(text) instanceof Items root)
        || root.items().isEmpty()
        || !(root.items().get(0) instanceof Atom head)
        || !head.text().equals(ROOT)) {
      throw new Malformed(1, 1, "expected (" + ROOT + " ...)");
    }
    Map<String, Atom> values = new HashMap<>();
    for (SExpression item : root.items().subList(1, root.items().size())) {
      if (!(item instanceof Items pair)
          || pair.items().size() != 2
          || !(pair.items().get(0) instanceof Atom name)
          || !(pair.items().get(1) instanceof Atom value)) {
        throw new Malformed(item.line(), item.column(), "expected (name value)");
      }
      if (!NAMES.contains(name.text())) {
        throw new Malformed(name.line(), name.column(), "unknown setting " + name.text());
      }
      if (values.put(name.text(), value) != null) {
        throw new Malformed(name.line(), name.column(), name.text() + " is set twice");
      }
    }
    return policy(values);
  }

  private static OperatorPolicy policy(Map<String, Atom> values) throws Malformed {
    OperatorPolicy usual = OperatorPolicy.defaults();
    return new OperatorPolicy(
        micros(values.get("threshold-s"), 0, 86_400, usual.thresholdMicros()),
        micros(values.get("poll-s"), 0.1, 3_600, usual.pollMicros()),
        (int) number(values.get("budget"), 0, 1_000_000, usual.budget()),
        micros(values.get("budget-window-s"), 1, 604_800, usual.budgetWindowMicros()),
        micros(values.get("idle-s"), 1, 86_400, usual.idleMicros()),
        values.containsKey("spot") ? spotMode(values.get("spot")) : usual.spotMode(),
        micros(values.get("hold-s"), 1, 60, usual.leaseMicros()),
        number(values.get("headroom"), 0, 0.9, usual.headroom()),
        number(values.get("patience"), 0, 1, usual.patience()),
        values.containsKey("deputies") ? on(values.get("deputies")) : usual.delegation(),
        values.containsKey("learned-run-times")
            ? on(values.get("learned-run-times"))
            : usual.learnedRunTimes());
  }

  private static SpotMode spotMode(Atom value) throws Malformed {
    try {
      return SpotMode.valueOf(value.text().toUpperCase(Locale.ROOT));
    } catch (IllegalArgumentException e) {
      throw new Malformed(value.line(), value.column(), "expected never, uncounted or always");
    }
  }

  private static boolean on(Atom value) throws Malformed {
    return switch (value.text()) {
      case "on" -> true;
      case "off" -> false;
      default -> throw new Malformed(value.line(), value.column(), "expected on or off");
    };
  }

  private static long micros(Atom value, double least, double most, long usual) throws Malformed {
    return value == null ? usual : Math.round(number(value, least, most, 0) * 1e6);
  }

  /** The usual number where there is no value. */
  private static double number(Atom value, double least, double most, double usual)
      throws Malformed {
    if (value == null) {
      return usual;
    }
    try {
      double number = Double.parseDouble(value.text());
      if (number >= least && number <= most) {
        return number;
      }
    } catch (NumberFormatException e) {
      // Falls through to the one complaint below.
    }
    throw new Malformed(
        value.line(), value.column(), "expected a number from " + least + " to " + most);
  }
}
