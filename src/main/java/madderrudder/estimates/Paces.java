package madderrudder.estimates;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Whether some machines, or types of machines, are slower than the rest, against what was expected of their tasks. A
 * faulty machine whose tasks run slow would otherwise teach that the tasks are longer.
 */
final class Paces {
    /** As many names as the largest fleet has machines; the least used is forgotten. */
    private static final int MOST_NAMES = 4_096;
    private static final double FORGETTING_ALL = 0.02;

    private final Map<String, Mean> means = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Mean> eldest) {
            return size() > MOST_NAMES;
        }
    };
    private final Mean all = new Mean(FORGETTING_ALL);
    private final double forgetting;

    private static final class Mean {
        private final double forgetting;
        private double value;
        private int count;

        Mean(double forgetting) {
            this.forgetting = forgetting;
        }

        void add(double one) {
            count++;
            value += Math.max(forgetting, 1.0 / count) * (one - value);
        }
    }

    /** Of the mean of a name, each further run takes so much of what was before. */
    Paces(double forgetting) {
        this.forgetting = forgetting;
    }

    void add(String name, double deviation) {
        all.add(deviation);
        if (!name.isEmpty()) {
            means.computeIfAbsent(name, n -> new Mean(forgetting)).add(deviation);
        }
    }

    /** How far the name's mean lies above that of all, or 0 before so many of its runs have been seen. */
    double beyondOthers(String name, int atLeast) {
        Mean mean = name.isEmpty() ? null : means.get(name);
        return mean == null || mean.count < atLeast ? 0 : mean.value - all.value;
    }
}
