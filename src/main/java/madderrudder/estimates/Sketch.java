package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The values of the latest runs of a kind: two generations of histograms. Once the younger one is
 * full it becomes the older, and what was the older is forgotten, so that what changes within a day
 * is followed. All histograms have one grid, 16 steps to a doubling, so that merging them gives the
 * same in any order.
 */
final class Sketch {
  private static final int DIGITS = 1;

  /** Tells which values are one step; it holds none. */
  private static final IntCountsHistogram GRID = fresh();

  private final int window;
  private IntCountsHistogram young = fresh();

  /** Null until the first generation is full: most kinds are seen a few times only. */
  private IntCountsHistogram old;

  /**
   * What both hold, worked out when it is asked for after a change: it is asked for more often than
   * it changes.
   */
  private Steps steps;

  /**
   * The steps of the grid that hold anything, in rising order: from where, up to where, and how
   * many values.
   */
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
    old = null;
    young = fresh();
    for (long value : values) {
      young.recordValue(value);
    }
    steps = null;
  }

  int count() {
    return (int) (young.getTotalCount() + (old == null ? 0 : old.getTotalCount()));
  }

  Steps steps() {
    if (steps == null) {
      long most = Math.max(young.getMaxValue(), old == null ? 0 : old.getMaxValue());
      long least =
          Math.min(
              young.getMinNonZeroValue(), old == null ? Long.MAX_VALUE : old.getMinNonZeroValue());
      double[] low = new double[16];
      double[] next = new double[16];
      double[] count = new double[16];
      int size = 0;
      for (long value = least; value <= most; value = GRID.nextNonEquivalentValue(value)) {
        long here = count(young, value) + count(old, value);
        if (here > 0) {
          if (size == low.length) {
            low = Arrays.copyOf(low, 2 * size);
            next = Arrays.copyOf(next, 2 * size);
            count = Arrays.copyOf(count, 2 * size);
          }
          low[size] = GRID.lowestEquivalentValue(value);
          next[size] = GRID.nextNonEquivalentValue(value);
          count[size++] = here;
        }
      }
      steps =
          new Steps(
              Arrays.copyOf(low, size), Arrays.copyOf(next, size), Arrays.copyOf(count, size));
    }
    return steps;
  }

  /**
   * Asked for what lies beyond its steps, a histogram answers with the last of them. (What it calls
   * its highest trackable value lies below values that its first array takes in: going by that, the
   * newest run was overlooked.)
   */
  private static long count(IntCountsHistogram generation, long value) {
    return generation == null || value > generation.getMaxValue()
        ? 0
        : generation.getCountAtValue(value);
  }

  /** Takes in what another has; generation by generation, so that the order does not matter. */
  void merge(Sketch other) {
    young.add(other.young);
    if (old == null) {
      old = other.old == null ? null : other.old.copy();
    } else if (other.old != null) {
      old.add(other.old);
    }
    steps = null;
  }

  /**
   * Both generations as one, which read again is the younger one: it turns with the next value if
   * it is full.
   */
  void write(ByteBuffer out) {
    if (old == null) {
      young.encodeIntoByteBuffer(out);
    } else {
      IntCountsHistogram both = old.copy();
      both.setAutoResize(true);
      both.add(young);
      both.encodeIntoByteBuffer(out);
    }
  }

  int mostBytes() {
    return Math.max(
        young.getNeededByteBufferCapacity(), old == null ? 0 : old.getNeededByteBufferCapacity());
  }

  /** Throws a RuntimeException of the library's if the bytes are not a histogram's. */
  static Sketch read(ByteBuffer in, int window) {
    Sketch sketch = new Sketch(window);
    sketch.young = readOne(in);
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
