package madderrudder.protocol;

/**
 * Field names of a job on the wire and in the store. The wire protocol uses nautical names; each
 * constant is named after the standard term that the rest of the program uses.
 */
final class JobFields {
  /** The job's id, for example {@code req-000412}: {@link JobSpec#id()}. */
  static final String ID = "id";

  /** The class of jobs that the job belongs to: {@link JobSpec#jobClass()}. */
  static final String JOB_CLASS = "rig";

  /** The team whose quota applies: {@link JobSpec#team()}. */
  static final String TEAM = "crew";

  /** The kind of job (array, gang or service): {@link JobSpec#kind()}. */
  static final String KIND = "cut";

  /** The job's priority: {@link JobSpec#priority()}. */
  static final String PRIORITY = "rank";

  /** The number of tasks: {@link JobSpec#tasks()}. */
  static final String TASK_COUNT = "strokes";

  /** The number of CPUs that one task needs: {@link Resources#cpus()} of a task. */
  static final String CPUS = "cores";

  /** The number of GPUs that one task needs: {@link Resources#gpus()} of a task. */
  static final String GPUS = "accelerators";

  /** The memory in GB that one task needs: {@link Resources#memoryGb()} of a task. */
  static final String MEMORY_GB = "mem_gb";

  /** The container image: {@link JobSpec#image()}. */
  static final String IMAGE = "hull";

  /** The size of the image in GB: {@link JobSpec#imageGb()}. */
  static final String IMAGE_GB = "image_gb";

  /** The machine types that the job may use: {@link JobSpec#machineTypes()}. */
  static final String MACHINE_TYPES = "builds";

  /** The only zone that the job may use: {@link JobSpec#zone()}. */
  static final String ZONE = "berth";

  /** Whether all tasks must run in the same zone: {@link JobSpec#oneZone()}. */
  static final String ONE_ZONE = "one_zone";

  /** Whether the tasks must be spread over zones: {@link JobSpec#spread()}. */
  static final String SPREAD = "apart";

  /** Whether the job may use spot machines: {@link JobSpec#spotAllowed()}. */
  static final String SPOT_ALLOWED = "driftwood";

  /** The owner's estimate of a task's run time in seconds: {@link JobSpec#estimateMicros()}. */
  static final String ESTIMATE_SECONDS = "reckon_s";

  /**
   * The progress between two checkpoints in seconds: {@link JobSpec#checkpointIntervalMicros()}.
   */
  static final String CHECKPOINT_INTERVAL_SECONDS = "mark_s";

  /** The time in seconds that a task needs to save a checkpoint when it is stopped. */
  static final String CHECKPOINT_SAVE_SECONDS = "stow_s";

  /** The deadline in seconds after submission: {@link JobSpec#deadlineMicros()}. */
  static final String DEADLINE_SECONDS = "tide_s";

  /** The state of the job in a response to its user: {@link JobState}. */
  static final String STATE = "trim";

  /** The number of completed tasks in the response to a poll. */
  static final String TASKS_DONE = "done";

  /** The number of running tasks in the response to a poll. */
  static final String TASKS_RUNNING = "running";

  private JobFields() {}
}
