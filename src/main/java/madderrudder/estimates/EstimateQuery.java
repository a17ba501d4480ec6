package madderrudder.estimates;

/**
 * Asks how long a task takes.
 *
 * @param profile what the task is
 * @param ownerEstimateMicros the owner's estimate in microseconds, or 0 if there is none
 * @param machineType the type of the machine that runs it, or empty if that is not known
 * @param elapsedMicros for how long it has run already, in microseconds; 0 if it has not started
 * @param coverage the share of such tasks that the prediction interval has to contain, between 0
 *     and 1, both excluded
 */
public record EstimateQuery(
    TaskProfile profile,
    long ownerEstimateMicros,
    String machineType,
    long elapsedMicros,
    double coverage) {}
