package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The distribution of the latest values, in two generations of histograms. When the current
 * generation is full it becomes the previous one, and what was the previous one is forgotten, so
 * that changes within a day are followed. All histograms have the same bucket bounds, 16 buckets to
 * a doubling, so that merging them gives the same result in any order.
 */
final class WindowedHistogram {
  private static final int SIGNIFICANT_DIGITS = 1;
  private static final int INITIAL_BUCKETS = 16;

  /** Gives the bucket bounds; it contains no values. */
  private static final IntCountsHistogram BUCKET_BOUNDS = emptyHistogram();

  private final int window;
  private IntCountsHistogram current = emptyHistogram();

  /** Null until the first generation is full: most profiles are seen a few times only. */
  private IntCountsHistogram previous;

  /**
   * The buckets of both generations, built when they are asked for after a change: they are asked
   * for more often than they change. Null after a change.
   */
  private Buckets buckets;

  /**
   * The buckets that contain values, in rising order.
   *
   * @param lowerBounds the least value of each bucket
   * @param upperBounds the least value above each bucket
   * @param counts how many values are in each bucket
   */
  record Buckets(double[] lowerBounds, double[] upperBounds, double[] counts) {
    int size() {
      return lowerBounds.length;
    }
  }

  /** {@code window} is the number of values in one generation. */
  WindowedHistogram(int window) {
    this.window = window;
  }

  private static IntCountsHistogram emptyHistogram() {
    IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    histogram.setAutoResize(true);
    return histogram;
  }

  void add(long value) {
    if (current.getTotalCount() >= window) {
      previous = current;
      current = emptyHistogram();
    }
    current.recordValue(value);
    buckets = null;
  }

  /** Forgets all values but these. */
  void restart(long[] values) {
    previous = null;
    current = emptyHistogram();
    for (long value : values) {
      current.recordValue(value);
    }
    buckets = null;
  }

  /** The number of values in both generations. */
  int count() {
    long ofPrevious = previous == null ? 0 : previous.getTotalCount();
    return (int) (current.getTotalCount() + ofPrevious);
  }

  /** The buckets of both generations together. */
  Buckets buckets() {
    if (buckets == null) {
      buckets = collectBuckets();
    }
    return buckets;
  }

  private Buckets collectBuckets() {
    long greatest = current.getMaxValue();
    long least = current.getMinNonZeroValue();
    if (previous != null) {
      greatest = Math.max(greatest, previous.getMaxValue());
      least = Math.min(least, previous.getMinNonZeroValue());
    }
    double[] lowerBounds = new double[INITIAL_BUCKETS];
    double[] upperBounds = new double[INITIAL_BUCKETS];
    double[] counts = new double[INITIAL_BUCKETS];
    int size = 0;
    for (long value = least;
        value <= greatest;
        value = BUCKET_BOUNDS.nextNonEquivalentValue(value)) {
      long count = count(current, value) + count(previous, value);
      if (count > 0) {
        if (size == lowerBounds.length) {
          lowerBounds = Arrays.copyOf(lowerBounds, 2 * size);
          upperBounds = Arrays.copyOf(upperBounds, 2 * size);
          counts = Arrays.copyOf(counts, 2 * size);
        }
        lowerBounds[size] = BUCKET_BOUNDS.lowestEquivalentValue(value);
        upperBounds[size] = BUCKET_BOUNDS.nextNonEquivalentValue(value);
        counts[size++] = count;
      }
    }
    return new Buckets(
        Arrays.copyOf(lowerBounds, size),
        Arrays.copyOf(upperBounds, size),
        Arrays.copyOf(counts, size));
  }

  /**
   * The count in the value's bucket. Asked for a value beyond its last bucket, a histogram answers
   * with the count of the last one. (What it calls its highest trackable value lies below values
   * that its first array takes in: going by that, the newest run was overlooked.)
   */
  private static long count(IntCountsHistogram generation, long value) {
    return generation == null || value > generation.getMaxValue()
        ? 0
        : generation.getCountAtValue(value);
  }

  /** Adds the values of another, generation by generation, so that the order does not matter. */
  void merge(WindowedHistogram other) {
    current.add(other.current);
    if (previous == null) {
      previous = other.previous == null ? null : other.previous.copy();
    } else if (other.previous != null) {
      previous.add(other.previous);
    }
    buckets = null;
  }

  /**
   * Writes both generations as one. When it is read again that one is the current generation, which
   * is replaced with the next value if it is full.
   */
  void write(ByteBuffer out) {
    if (previous == null) {
      current.encodeIntoByteBuffer(out);
    } else {
      IntCountsHistogram both = previous.copy();
      both.setAutoResize(true);
      both.add(current);
      both.encodeIntoByteBuffer(out);
    }
  }

  /** The most bytes that {@link #write} needs. */
  int maxBytes() {
    int ofPrevious = previous == null ? 0 : previous.getNeededByteBufferCapacity();
    return Math.max(current.getNeededByteBufferCapacity(), ofPrevious);
  }

  /**
   * Reads what {@link #write} wrote; throws a RuntimeException of the library's if the bytes are
   * not a histogram's.
   */
  static WindowedHistogram read(ByteBuffer in, int window) {
    WindowedHistogram read = new WindowedHistogram(window);
    read.current = readGeneration(in);
    return read;
  }

  private static IntCountsHistogram readGeneration(ByteBuffer in) {
    IntCountsHistogram histogram = IntCountsHistogram.decodeFromByteBuffer(in, 2);
    int digits = histogram.getNumberOfSignificantValueDigits();
    if (digits != SIGNIFICANT_DIGITS) {
      throw new IllegalArgumentException(
          "a histogram of " + digits + " significant digits, not " + SIGNIFICANT_DIGITS);
    }
    histogram.setAutoResize(true);
    return histogram;
  }
}
