package madderrudder.estimates;

/**
 * One task that has run.
 *
 * @param profile what the task is
 * @param task its number within the job
 * @param attempt the number of the attempt; tasks of a gang that ran together share it
 * @param machineType the type of its machine, or empty if that is not known
 * @param machine the name of its machine, or empty if that is not known
 * @param ownerEstimateMicros the owner's estimate in microseconds, or 0 if there was none
 * @param durationMicros how long it ran in microseconds, without the fetch of its image
 * @param complete false for a run that was stopped, or that resumed what an earlier attempt had
 *     saved: of the whole run time it is only known that it is at least {@code durationMicros} (a
 *     censored observation)
 */
public record TaskRun(
    TaskProfile profile,
    int task,
    long attempt,
    String machineType,
    String machine,
    long ownerEstimateMicros,
    long durationMicros,
    boolean complete) {
  private static final long MIN_MICROS = 1_000;

  /** A month. What claims to have run for longer comes from a clock that jumped. */
  private static final long MAX_MICROS = 31L * 86_400 * 1_000_000;

  /**
   * Whether its times can be true: it ran between a millisecond and 31 days, and the owner's
   * estimate is no longer than that. Clocks that jump and edited files give other times.
   */
  public boolean isPlausible() {
    return durationMicros >= MIN_MICROS
        && durationMicros <= MAX_MICROS
        && ownerEstimateMicros >= 0
        && ownerEstimateMicros <= MAX_MICROS;
  }
}
