package madderrudder.protocol;

/** An amount of processors, accelerators and memory in thousandths, so that sums stay exact. */
public record Resources(long milliCpus, long milliGpus, long memoryMb) {
  public static final Resources NONE = new Resources(0, 0, 0);

  public static Resources of(double cpus, double gpus, double memoryGb) {
    return new Resources(
        Math.round(cpus * 1000), Math.round(gpus * 1000), Math.round(memoryGb * 1000));
  }

  public Resources plus(Resources other) {
    return new Resources(
        milliCpus + other.milliCpus, milliGpus + other.milliGpus, memoryMb + other.memoryMb);
  }

  public Resources minus(Resources other) {
    return new Resources(
        milliCpus - other.milliCpus, milliGpus - other.milliGpus, memoryMb - other.memoryMb);
  }

  public Resources times(int count) {
    return new Resources(milliCpus * count, milliGpus * count, memoryMb * count);
  }

  public boolean fits(Resources room) {
    return milliCpus <= room.milliCpus && milliGpus <= room.milliGpus && memoryMb <= room.memoryMb;
  }

  /** The smaller amount of each. */
  public static Resources least(Resources a, Resources b) {
    return new Resources(
        Math.min(a.milliCpus, b.milliCpus),
        Math.min(a.milliGpus, b.milliGpus),
        Math.min(a.memoryMb, b.memoryMb));
  }

  /** How often this amount fits into the room. */
  public long timesIn(Resources room) {
    return Math.min(
        times(milliCpus, room.milliCpus),
        Math.min(times(milliGpus, room.milliGpus), times(memoryMb, room.memoryMb)));
  }

  private static long times(long need, long room) {
    return need == 0 ? Integer.MAX_VALUE : room / need;
  }

  public boolean isNone() {
    return milliCpus == 0 && milliGpus == 0 && memoryMb == 0;
  }
}
