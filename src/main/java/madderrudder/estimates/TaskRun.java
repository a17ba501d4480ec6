package madderrudder.estimates;

/**
 * The observed run of one task.
 *
 * @param profile the properties of the task
 * @param taskIndex the index of the task within its job
 * @param attempt the number of the attempt, which is shared by the tasks of a gang that ran
 *     together
 * @param machineType the type of the machine, or empty if unknown
 * @param machine the name of the machine, or empty if unknown
 * @param ownerEstimateMicros the owner's estimate in microseconds, or 0 if there is none
 * @param durationMicros the run time in microseconds, excluding the fetch of the image
 * @param complete false for a run that was stopped, or that resumed from a checkpoint of an earlier
 *     attempt. Its complete run time is only known to be at least {@code durationMicros} (a
 *     censored observation).
 */
public record TaskRun(
    TaskProfile profile,
    int taskIndex,
    long attempt,
    String machineType,
    String machine,
    long ownerEstimateMicros,
    long durationMicros,
    boolean complete) {
  private static final long MIN_MICROS = 1_000;

  /** 31 days. Longer times result from clock jumps. */
  private static final long MAX_MICROS = 31L * 86_400 * 1_000_000;

  /**
   * Whether the run time lies between 1 ms and 31 days, and the owner's estimate between 0 and 31
   * days. Clock jumps and edited history files cause implausible times.
   */
  public boolean isPlausible() {
    return durationMicros >= MIN_MICROS
        && durationMicros <= MAX_MICROS
        && ownerEstimateMicros >= 0
        && ownerEstimateMicros <= MAX_MICROS;
  }
}
