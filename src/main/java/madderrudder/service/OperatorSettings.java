package madderrudder.service;

import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import madderrudder.coordination.Policy;
import madderrudder.coordination.Policy.SpotMode;
import madderrudder.service.SExpression.Atom;
import madderrudder.service.SExpression.Items;
import madderrudder.service.SExpression.Malformed;

/** The operators' own settings: {@code (madderrudder (threshold-s 20) ...)}; what is left out has its default. */
public final class OperatorSettings {
    private static final String ROOT = "madderrudder";

    private OperatorSettings() {
    }

    public static Policy parse(String text) throws Malformed {
        if (!(SExpression.parse(text) instanceof Items root) || root.items().isEmpty()
                || !(root.items().get(0) instanceof Atom head) || !head.text().equals(ROOT)) {
            throw new Malformed(1, 1, "expected (" + ROOT + " ...)");
        }
        Policy policy = Policy.defaults();
        Set<String> seen = new HashSet<>();
        for (SExpression item : root.items().subList(1, root.items().size())) {
            if (!(item instanceof Items pair) || pair.items().size() != 2
                    || !(pair.items().get(0) instanceof Atom name) || !(pair.items().get(1) instanceof Atom value)) {
                throw new Malformed(item.line(), item.column(), "expected (name value)");
            }
            if (!seen.add(name.text())) {
                throw new Malformed(name.line(), name.column(), name.text() + " is set twice");
            }
            policy = apply(policy, name, value);
        }
        return policy;
    }

    private static Policy apply(Policy p, Atom name, Atom value) throws Malformed {
        return switch (name.text()) {
            case "threshold-s" -> new Policy(micros(value, 0, 86_400), p.pollMicros(), p.budget(),
                    p.budgetWindowMicros(), p.idleMicros(), p.spotMode(), p.holdMicros(), p.headroom(), p.patience());
            case "poll-s" -> new Policy(p.thresholdMicros(), micros(value, 0.1, 3_600), p.budget(),
                    p.budgetWindowMicros(), p.idleMicros(), p.spotMode(), p.holdMicros(), p.headroom(), p.patience());
            case "budget" -> new Policy(p.thresholdMicros(), p.pollMicros(), (int) number(value, 0, 1_000_000),
                    p.budgetWindowMicros(), p.idleMicros(), p.spotMode(), p.holdMicros(), p.headroom(), p.patience());
            case "budget-window-s" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(),
                    micros(value, 1, 604_800), p.idleMicros(), p.spotMode(), p.holdMicros(), p.headroom(), p.patience());
            case "idle-s" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(), p.budgetWindowMicros(),
                    micros(value, 1, 86_400), p.spotMode(), p.holdMicros(), p.headroom(), p.patience());
            case "spot" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(), p.budgetWindowMicros(),
                    p.idleMicros(), spotMode(value), p.holdMicros(), p.headroom(), p.patience());
            case "hold-s" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(), p.budgetWindowMicros(),
                    p.idleMicros(), p.spotMode(), micros(value, 1, 60), p.headroom(), p.patience());
            case "headroom" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(), p.budgetWindowMicros(),
                    p.idleMicros(), p.spotMode(), p.holdMicros(), number(value, 0, 0.9), p.patience());
            case "patience" -> new Policy(p.thresholdMicros(), p.pollMicros(), p.budget(), p.budgetWindowMicros(),
                    p.idleMicros(), p.spotMode(), p.holdMicros(), p.headroom(), number(value, 0, 1));
            default -> throw new Malformed(name.line(), name.column(), "unknown setting " + name.text());
        };
    }

    private static SpotMode spotMode(Atom value) throws Malformed {
        try {
            return SpotMode.valueOf(value.text().toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new Malformed(value.line(), value.column(), "expected never, uncounted or always");
        }
    }

    private static long micros(Atom value, double least, double most) throws Malformed {
        return Math.round(number(value, least, most) * 1e6);
    }

    private static double number(Atom value, double least, double most) throws Malformed {
        try {
            double number = Double.parseDouble(value.text());
            if (number >= least && number <= most) {
                return number;
            }
        } catch (NumberFormatException e) {
            // Falls through to the one complaint below.
        }
        throw new Malformed(value.line(), value.column(), "expected a number from " + least + " to " + most);
    }
}
