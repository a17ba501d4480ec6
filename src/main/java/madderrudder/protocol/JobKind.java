package madderrudder.protocol;

/** How the tasks of a job belong together; the wire's field is {@code cut}. */
public enum JobKind {
  /** A job array: independent tasks, each runs to completion. */
  ARRAY,
  /** Gang scheduling: all tasks run at the same time or none does. */
  GANG,
  /** Replicas that run until the job is cancelled. */
  SERVICE
}
