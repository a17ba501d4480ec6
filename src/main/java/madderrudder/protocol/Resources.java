package madderrudder.protocol;

/**
 * An amount of processors, GPUs and memory, in thousandths so that sums stay exact.
 *
 * @param milliCpus thousandths of a processor
 * @param milliGpus thousandths of a GPU
 * @param memoryMb MB of memory, thousandths of a GB
 */
public record Resources(long milliCpus, long milliGpus, long memoryMb) {
  /** Nothing at all. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /** The amount, rounded to thousandths. */
  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * 1000), Math.round(gpus * 1000), Math.round(memoryGb * 1000));
  }

  /** The sum. */
  public Resources plus(Resources other) {
    return new Resources(
        milliCpus + other.milliCpus, milliGpus + other.milliGpus, memoryMb + other.memoryMb);
  }

  /** The difference, which may be negative. */
  public Resources minus(Resources other) {
    return new Resources(
        milliCpus - other.milliCpus, milliGpus - other.milliGpus, memoryMb - other.memoryMb);
  }

  /** This amount so many times. */
  public Resources times(int count) {
    return new Resources(milliCpus * count, milliGpus * count, memoryMb * count);
  }

  /** Whether there is enough available for this amount. */
  public boolean fits(Resources available) {
    return milliCpus <= available.milliCpus
        && milliGpus <= available.milliGpus
        && memoryMb <= available.memoryMb;
  }

  /** The smaller of both amounts, for each resource. */
  public static Resources least(Resources a, Resources b) {
    return new Resources(
        Math.min(a.milliCpus, b.milliCpus),
        Math.min(a.milliGpus, b.milliGpus),
        Math.min(a.memoryMb, b.memoryMb));
  }

  /** How many times this amount fits into what is available. */
  public long timesIn(Resources available) {
    return Math.min(
        times(milliCpus, available.milliCpus),
        Math.min(times(milliGpus, available.milliGpus), times(memoryMb, available.memoryMb)));
  }

  private static long times(long need, long available) {
    return need == 0 ? Integer.MAX_VALUE : available / need;
  }

  /** Whether this amount is nothing. */
  public boolean isNone() {
    return milliCpus == 0 && milliGpus == 0 && memoryMb == 0;
  }
}
