package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The values of the latest runs of a kind: two generations of histograms. Once the younger one is full it becomes the
 * older, and what was the older is forgotten, so that what changes within a day is followed. All histograms have one
 * grid, 16 steps to a doubling, so that merging them gives the same in any order.
 */
final class Sketch {
    private static final int DIGITS = 1;

    private final int window;
    private IntCountsHistogram young = fresh();
    private IntCountsHistogram old = fresh();
    /** What both hold, worked out when it is asked for after a change: it is asked for more often than it changes. */
    private Steps steps;

    /** The steps of the grid that hold anything, in rising order: from where, up to where, and how many values. */
    record Steps(double[] low, double[] next, double[] count) {
        int size() {
            return low.length;
        }
    }

    Sketch(int window) {
        this.window = window;
    }

    private static IntCountsHistogram fresh() {
        IntCountsHistogram histogram = new IntCountsHistogram(DIGITS);
        histogram.setAutoResize(true);
        return histogram;
    }

    void add(long value) {
        if (young.getTotalCount() >= window) {
            old = young;
            young = fresh();
        }
        young.recordValue(value);
        steps = null;
    }

    /** Forgets all but these. */
    void restart(long[] values) {
        old = fresh();
        young = fresh();
        for (long value : values) {
            young.recordValue(value);
        }
        steps = null;
    }

    int count() {
        return (int) (young.getTotalCount() + old.getTotalCount());
    }

    Steps steps() {
        if (steps == null) {
            IntCountsHistogram both = fresh();
            both.add(young);
            both.add(old);
            List<double[]> found = new ArrayList<>();
            for (HistogramIterationValue step : both.recordedValues()) {
                long value = step.getValueIteratedTo();
                found.add(new double[] {both.lowestEquivalentValue(value), both.nextNonEquivalentValue(value),
                        step.getCountAddedInThisIterationStep()});
            }
            steps = new Steps(column(found, 0), column(found, 1), column(found, 2));
        }
        return steps;
    }

    private static double[] column(List<double[]> rows, int column) {
        return rows.stream().mapToDouble(row -> row[column]).toArray();
    }

    /** Takes in what another has; generation by generation, so that the order does not matter. */
    void merge(Sketch other) {
        young.add(other.young);
        old.add(other.old);
        steps = null;
    }

    void write(ByteBuffer out) {
        young.encodeIntoByteBuffer(out);
        old.encodeIntoByteBuffer(out);
    }

    int mostBytes() {
        return young.getNeededByteBufferCapacity() + old.getNeededByteBufferCapacity();
    }

    /** Throws a RuntimeException of the library's if the bytes are not a histogram's. */
    static Sketch read(ByteBuffer in, int window) {
        Sketch sketch = new Sketch(window);
        sketch.young = readOne(in);
        sketch.old = readOne(in);
        return sketch;
    }

    private static IntCountsHistogram readOne(ByteBuffer in) {
        IntCountsHistogram histogram = IntCountsHistogram.decodeFromByteBuffer(in, 2);
        if (histogram.getNumberOfSignificantValueDigits() != DIGITS) {
            throw new IllegalArgumentException("another grid");
        }
        histogram.setAutoResize(true);
        return histogram;
    }
}
