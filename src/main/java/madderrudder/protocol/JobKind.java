package madderrudder.protocol;

/** Whether the tasks of a job are independent, run together as a gang, or are service replicas. */
public enum JobKind {
  /** A job array: independent tasks, each of which runs to completion. */
  ARRAY,
  /** Gang scheduling: all tasks run at the same time, or none runs. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
