package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.HdrHistogram.IntCountsHistogram;

/**
 * The distribution of the latest values, in two generations of histograms. When the current
 * generation is full, it replaces the previous one, so that the distribution follows changes within
 * a day. All histograms have the same bucket bounds, with 16 buckets per doubling, so that the
 * result of merging does not depend on the order.
 */
final class WindowedHistogram {
  private static final int SIGNIFICANT_DIGITS = 1;
  private static final int INITIAL_BUCKETS = 16;

  /** An empty histogram that provides the bucket bounds. */
  private static final IntCountsHistogram BUCKET_BOUNDS = emptyHistogram();

  private final int generationSize;
  private IntCountsHistogram current = emptyHistogram();

  /**
   * Null until the first generation is full, which saves memory because most profiles have few
   * runs.
   */
  private IntCountsHistogram previous;

  /**
   * The cached buckets of both generations; null after a change. They are read more often than they
   * change.
   */
  private Buckets buckets;

  /**
   * The non-empty buckets, in ascending order.
   *
   * @param lowerBounds the smallest value of each bucket
   * @param upperBounds the smallest value above each bucket
   * @param counts the number of values in each bucket
   */
  record Buckets(double[] lowerBounds, double[] upperBounds, double[] counts) {
    int size() {
      return lowerBounds.length;
    }
  }

  /** {@code generationSize} is the number of values in one generation. */
  WindowedHistogram(int generationSize) {
    this.generationSize = generationSize;
  }

  private static IntCountsHistogram emptyHistogram() {
    IntCountsHistogram histogram = new IntCountsHistogram(SIGNIFICANT_DIGITS);
    histogram.setAutoResize(true);
    return histogram;
  }

  /** Adds a value; if the current generation is full, starts a new one. */
  void add(long value) {
    if (current.getTotalCount() >= generationSize) {
      previous = current;
      current = emptyHistogram();
    }
    current.recordValue(value);
    buckets = null;
  }

  /** Replaces all values with the given ones. */
  void resetTo(long[] values) {
    previous = null;
    current = emptyHistogram();
    for (long value : values) {
      current.recordValue(value);
    }
    buckets = null;
  }

  /** The number of values in both generations. */
  int count() {
    long previousCount = previous == null ? 0 : previous.getTotalCount();
    return (int) (current.getTotalCount() + previousCount);
  }

  /** The non-empty buckets of both generations together. */
  Buckets buckets() {
    if (buckets == null) {
      buckets = collectBuckets();
    }
    return buckets;
  }

  private Buckets collectBuckets() {
    long maxValue = current.getMaxValue();
    long minValue = current.getMinNonZeroValue();
    if (previous != null) {
      maxValue = Math.max(maxValue, previous.getMaxValue());
      minValue = Math.min(minValue, previous.getMinNonZeroValue());
    }
    double[] lowerBounds = new double[INITIAL_BUCKETS];
    double[] upperBounds = new double[INITIAL_BUCKETS];
    double[] counts = new double[INITIAL_BUCKETS];
    int size = 0;
    for (long value = minValue;
        value <= maxValue;
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
   * The number of values in the bucket of the value. The comparison with the maximum value is
   * required because, for a value beyond its last bucket, HdrHistogram returns the count of the
   * last bucket. Its highest trackable value must not be used for this comparison: the initial
   * counts array also accepts larger values, which would be missed.
   */
  private static long count(IntCountsHistogram generation, long value) {
    return generation == null || value > generation.getMaxValue()
        ? 0
        : generation.getCountAtValue(value);
  }

  /**
   * Adds the values of the other histogram to the same generations, so that the result does not
   * depend on the order of merges.
   */
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
   * Writes both generations as a single one. {@link #read} restores it as the current generation,
   * which the next value replaces if it is full.
   */
  void write(ByteBuffer out) {
    if (previous == null) {
      current.encodeIntoByteBuffer(out);
    } else {
      IntCountsHistogram merged = previous.copy();
      merged.setAutoResize(true);
      merged.add(current);
      merged.encodeIntoByteBuffer(out);
    }
  }

  /** The maximum number of bytes that {@link #write} writes. */
  int maxBytes() {
    int previousBytes = previous == null ? 0 : previous.getNeededByteBufferCapacity();
    return Math.max(current.getNeededByteBufferCapacity(), previousBytes);
  }

  /**
   * Reads the format of {@link #write}; throws a RuntimeException if the bytes are not a valid
   * histogram.
   */
  static WindowedHistogram read(ByteBuffer in, int generationSize) {
    WindowedHistogram histogram = new WindowedHistogram(generationSize);
    histogram.current = readGeneration(in);
    return histogram;
  }

  private static IntCountsHistogram readGeneration(ByteBuffer in) {
    IntCountsHistogram histogram = IntCountsHistogram.decodeFromByteBuffer(in, 2);
    int digits = histogram.getNumberOfSignificantValueDigits();
    if (digits != SIGNIFICANT_DIGITS) {
      throw new IllegalArgumentException(
          "histogram has " + digits + " significant digits, expected " + SIGNIFICANT_DIGITS);
    }
    histogram.setAutoResize(true);
    return histogram;
  }
}
