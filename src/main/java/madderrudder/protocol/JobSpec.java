package madderrudder.protocol;

import java.util.Set;

/**
 * A job as its user submitted it.
 *
 * @param id the job's id, which the user chose
 * @param jobClass the class of jobs that it belongs to
 * @param team the team whose quota applies
 * @param kind how its tasks belong together
 * @param priority its priority
 * @param tasks the number of tasks
 * @param perTask what each task takes of its machine
 * @param image the container image
 * @param imageGb the size of the image in GB
 * @param types the allowed machine types; null if all are
 * @param zone the only allowed zone; null if all are
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether the tasks must be spread over zones, see {@link #mostPerZone()}
 * @param spotAllowed whether the job may use spot machines
 * @param estimateMicros the owner's estimate of a task's run time; 0 for services
 * @param checkpointIntervalMicros the interval of progress between checkpoints; 0 if tasks never
 *     save
 * @param checkpointSaveMicros the time that a task needs to save when it is stopped
 * @param deadlineMicros when the job should be complete, from its submission; 0 without a deadline
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources perTask,
    String image,
    double imageGb,
    Set<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    long estimateMicros,
    long checkpointIntervalMicros,
    long checkpointSaveMicros,
    long deadlineMicros) {

  /** The largest number of its tasks that may be in the same zone. */
  public int mostPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
