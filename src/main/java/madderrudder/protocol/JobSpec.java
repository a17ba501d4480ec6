package madderrudder.protocol;

import java.util.Set;

/**
 * A job as its user submitted it.
 *
 * @param id the job's id, which the user chose
 * @param jobClass the class of jobs that it belongs to
 * @param team the team whose quota applies
 * @param kind whether it is an array, a gang or a service
 * @param priority its priority
 * @param tasks the number of tasks
 * @param resourcesPerTask the resources that each task needs
 * @param image the container image
 * @param imageGb the size of the image in GB
 * @param machineTypes the allowed machine types; null if all are
 * @param zone the only allowed zone; null if all are
 * @param oneZone whether all tasks must run in the same zone
 * @param spread whether the tasks must be spread over zones; see {@link #maxTasksPerZone()}
 * @param spotAllowed whether the job may use spot machines
 * @param estimateMicros the owner's estimate of a task's run time; 0 for services
 * @param checkpointIntervalMicros the progress of a task between two checkpoints; 0 if tasks save
 *     no checkpoints
 * @param checkpointSaveMicros the time that a task needs to save a checkpoint when it is stopped
 * @param deadlineMicros the time from submission within which the job should complete; 0 if it has
 *     no deadline
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources resourcesPerTask,
    String image,
    double imageGb,
    Set<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    long estimateMicros,
    long checkpointIntervalMicros,
    long checkpointSaveMicros,
    long deadlineMicros) {

  /**
   * The largest number of the job's tasks that may run in the same zone: half of them, rounded up,
   * if the tasks must be spread over zones.
   */
  public int maxTasksPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
