package madderrudder.protocol;

/**
 * An amount of CPUs, GPUs and memory, in integer thousandths so that sums of fractions are exact.
 *
 * @param milliCpus the CPUs in thousandths
 * @param milliGpus the GPUs in thousandths
 * @param memoryMb the memory in MB, which are thousandths of a GB
 */
public record Resources(long milliCpus, long milliGpus, long memoryMb) {
  /** The amount of zero of each resource. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** Returns an amount, rounded to thousandths of a CPU, a GPU and a GB. */
  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * 1000), Math.round(gpus * 1000), Math.round(memoryGb * 1000));
  }

  /** Returns the sum of this amount and the other. */
  public Resources plus(Resources other) {
    return new Resources(
        milliCpus + other.milliCpus, milliGpus + other.milliGpus, memoryMb + other.memoryMb);
  }

  /** Returns this amount less the other, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        milliCpus - other.milliCpus, milliGpus - other.milliGpus, memoryMb - other.memoryMb);
  }

  /** Returns this amount multiplied by the count. */
  public Resources times(int count) {
    return new Resources(milliCpus * count, milliGpus * count, memoryMb * count);
  }

  /** Whether this amount is at most what is available, for each resource. */
  public boolean fits(Resources available) {
    return milliCpus <= available.milliCpus
        && milliGpus <= available.milliGpus
        && memoryMb <= available.memoryMb;
  }

  /** Returns the minimum of both amounts, taken for each resource separately. */
  public static Resources min(Resources a, Resources b) {
    return new Resources(
        Math.min(a.milliCpus, b.milliCpus),
        Math.min(a.milliGpus, b.milliGpus),
        Math.min(a.memoryMb, b.memoryMb));
  }

  /**
   * Returns how many times this amount fits into what is available. A resource of which this amount
   * is zero fits {@link Integer#MAX_VALUE} times.
   */
  public long timesIn(Resources available) {
    return Math.min(
        countFitting(milliCpus, available.milliCpus),
        Math.min(
            countFitting(milliGpus, available.milliGpus),
            countFitting(memoryMb, available.memoryMb)));
  }

  private static long countFitting(long need, long available) {
    return need == 0 ? Integer.MAX_VALUE : available / need;
  }

  /** Whether the amount of each resource is zero. */
  public boolean isNone() {
    return milliCpus == 0 && milliGpus == 0 && memoryMb == 0;
  }
}
