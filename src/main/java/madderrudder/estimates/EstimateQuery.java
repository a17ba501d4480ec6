package madderrudder.estimates;

/**
 * A query for the run time of a task.
 *
 * @param profile the properties of the task
 * @param ownerEstimateMicros the owner's estimate in microseconds, or 0 if there is none
 * @param machineType the type of the machine that runs the task, or empty if unknown
 * @param elapsedMicros the time for which the task has run so far, in microseconds; 0 if it has not
 *     started
 * @param coverage the required probability that the prediction interval contains the run time,
 *     between 0 and 1, both excluded
 */
public record EstimateQuery(
    TaskProfile profile,
    long ownerEstimateMicros,
    String machineType,
    long elapsedMicros,
    double coverage) {}
