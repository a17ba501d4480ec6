package madderrudder.protocol;

import java.math.BigDecimal;
import java.math.RoundingMode;

/**
 * An amount of CPUs, GPUs and memory, in integer billionths so that sums of fractions are exact. An
 * amount with more decimal places is rounded to the safe side: {@link #required} rounds up what a
 * task takes, and {@link #available} rounds down what a machine or a team has. What runs, counted
 * with the amounts as users wrote them, therefore never exceeds a machine or a limit.
 *
 * @param nanoCpus the CPUs in billionths
 * @param nanoGpus the GPUs in billionths
 * @param nanoMemoryGb the memory in billionths of a GB
 */
public record Resources(long nanoCpus, long nanoGpus, long nanoMemoryGb) {
  /** The amount of zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** The smallest amount of a resource that is counted. */
  public static final BigDecimal SMALLEST = BigDecimal.valueOf(1, 9);

  /** Billionths in one CPU, one GPU or one GB. */
  public static final long NANOS_PER_UNIT = 1_000_000_000;

  private static final int NANO_DIGITS = 9;

  /** Billionths in a thousandth, the unit of stored records. */
  private static final long NANOS_PER_THOUSANDTH = 1_000_000;

  /** The number of digits before the decimal point in the largest amount that is counted. */
  private static final int MAX_WHOLE_DIGITS = 9;

  /** The largest amount that a machine or a team can have; it leaves room for sums. */
  private static final long MAX_AVAILABLE_NANOS = 1_000_000_000 * NANOS_PER_UNIT;

  /** What counts for a larger amount that a task takes: it fits nowhere. */
  private static final long UNAVAILABLE_NANOS = 2 * MAX_AVAILABLE_NANOS;

  /** Limits products, so that they can still be added to. */
  private static final long MAX_PRODUCT_NANOS = 4 * MAX_AVAILABLE_NANOS;

  /** Returns an amount that a task takes, rounded up to billionths. */
  public static Resources required(BigDecimal cpus, BigDecimal gpus, BigDecimal memoryGb) {
    return new Resources(requiredNanos(cpus), requiredNanos(gpus), requiredNanos(memoryGb));
  }

  /** Returns an amount that a machine or a team has, rounded down to billionths. */
  public static Resources available(BigDecimal cpus, BigDecimal gpus, BigDecimal memoryGb) {
    return new Resources(availableNanos(cpus), availableNanos(gpus), availableNanos(memoryGb));
  }

  /** Returns an amount that is rounded up to billionths, like {@link #required}. */
  public static Resources of(double cpus, double gpus, double memoryGb) {
    return required(
        BigDecimal.valueOf(cpus), BigDecimal.valueOf(gpus), BigDecimal.valueOf(memoryGb));
  }

  /** Returns an amount that is given in thousandths. */
  public static Resources ofThousandths(long cpus, long gpus, long memoryGb) {
    return new Resources(
        nanosOfThousandths(cpus), nanosOfThousandths(gpus), nanosOfThousandths(memoryGb));
  }

  private static long nanosOfThousandths(long thousandths) {
    return Math.min(thousandths, Long.MAX_VALUE / NANOS_PER_THOUSANDTH) * NANOS_PER_THOUSANDTH;
  }

  private static long requiredNanos(BigDecimal amount) {
    if (wholeDigits(amount) > MAX_WHOLE_DIGITS) {
      return UNAVAILABLE_NANOS;
    }
    // Checked before the conversion, which would expand the digits of a tiny number.
    return wholeDigits(amount) < -NANO_DIGITS
        ? amount.signum()
        : nanos(amount, RoundingMode.CEILING);
  }

  private static long availableNanos(BigDecimal amount) {
    if (wholeDigits(amount) > MAX_WHOLE_DIGITS) {
      return MAX_AVAILABLE_NANOS;
    }
    return wholeDigits(amount) < -NANO_DIGITS ? 0 : nanos(amount, RoundingMode.FLOOR);
  }

  /**
   * Returns the number of digits before the decimal point. It is negative by the number of zeros
   * that follow the point in a smaller amount, and 0 for the amount of zero.
   */
  private static long wholeDigits(BigDecimal amount) {
    return amount.signum() == 0 ? 0 : (long) amount.precision() - amount.scale();
  }

  private static long nanos(BigDecimal amount, RoundingMode rounding) {
    return amount.movePointRight(NANO_DIGITS).setScale(0, rounding).longValueExact();
  }

  /** Returns the billionths as a decimal number of units, without trailing zeros. */
  static BigDecimal toDecimal(long nanos) {
    BigDecimal decimal = BigDecimal.valueOf(nanos, NANO_DIGITS).stripTrailingZeros();
    return decimal.scale() < 1 ? decimal.setScale(1) : decimal;
  }

  /** Returns the CPUs as a decimal number. */
  public BigDecimal cpus() {
    return toDecimal(nanoCpus);
  }

  /** Returns the GPUs as a decimal number. */
  public BigDecimal gpus() {
    return toDecimal(nanoGpus);
  }

  /** Returns the memory in GB as a decimal number. */
  public BigDecimal memoryGb() {
    return toDecimal(nanoMemoryGb);
  }

  /** Returns the billionths in thousandths, rounded up. */
  public static long toThousandths(long nanos) {
    return nanos / NANOS_PER_THOUSANDTH + (nanos % NANOS_PER_THOUSANDTH == 0 ? 0 : 1);
  }

  /** Whether the amount of each resource is a whole number of thousandths. */
  public boolean isInThousandths() {
    return nanoCpus % NANOS_PER_THOUSANDTH == 0
        && nanoGpus % NANOS_PER_THOUSANDTH == 0
        && nanoMemoryGb % NANOS_PER_THOUSANDTH == 0;
  }

  /** Returns the sum of this amount and the other. */
  public Resources plus(Resources other) {
    return new Resources(
        nanoCpus + other.nanoCpus, nanoGpus + other.nanoGpus, nanoMemoryGb + other.nanoMemoryGb);
  }

  /** Returns this amount less the other, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        nanoCpus - other.nanoCpus, nanoGpus - other.nanoGpus, nanoMemoryGb - other.nanoMemoryGb);
  }

  /**
   * Returns this amount, which must not be negative, multiplied by the count. A product beyond what
   * any machine or team has is lowered to an amount that still exceeds that.
   */
  public Resources times(int count) {
    return new Resources(
        product(nanoCpus, count), product(nanoGpus, count), product(nanoMemoryGb, count));
  }

  private static long product(long nanos, int count) {
    return count > 0 && nanos > MAX_PRODUCT_NANOS / count ? MAX_PRODUCT_NANOS : nanos * count;
  }

  /** Whether this amount is at most what is available, for each resource. */
  public boolean fits(Resources available) {
    return nanoCpus <= available.nanoCpus
        && nanoGpus <= available.nanoGpus
        && nanoMemoryGb <= available.nanoMemoryGb;
  }

  /** Returns the minimum of both amounts, taken for each resource separately. */
  public static Resources min(Resources a, Resources b) {
    return new Resources(
        Math.min(a.nanoCpus, b.nanoCpus),
        Math.min(a.nanoGpus, b.nanoGpus),
        Math.min(a.nanoMemoryGb, b.nanoMemoryGb));
  }

  /** Returns the maximum of both amounts, taken for each resource separately. */
  public static Resources max(Resources a, Resources b) {
    return new Resources(
        Math.max(a.nanoCpus, b.nanoCpus),
        Math.max(a.nanoGpus, b.nanoGpus),
        Math.max(a.nanoMemoryGb, b.nanoMemoryGb));
  }

  /**
   * Returns how many times this amount fits into what is available. A resource of which this amount
   * is zero fits {@link Integer#MAX_VALUE} times.
   */
  public long timesIn(Resources available) {
    return Math.min(
        countFitting(nanoCpus, available.nanoCpus),
        Math.min(
            countFitting(nanoGpus, available.nanoGpus),
            countFitting(nanoMemoryGb, available.nanoMemoryGb)));
  }

  private static long countFitting(long need, long available) {
    return need == 0 ? Integer.MAX_VALUE : available / need;
  }

  /** Whether the amount of each resource is zero. */
  public boolean isNone() {
    return nanoCpus == 0 && nanoGpus == 0 && nanoMemoryGb == 0;
  }
}
