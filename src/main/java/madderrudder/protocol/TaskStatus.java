package madderrudder.protocol;

/**
 * One task as a worker reports it.
 *
 * @param task the task
 * @param attempt the number of its attempt
 * @param phase its phase on the machine
 * @param exitReason why it exited, or why its start was refused; null unless it has exited
 * @param saved whether it saved its progress when it was stopped
 */
public record TaskStatus(
    TaskId task, long attempt, Phase phase, ExitReason exitReason, boolean saved) {
  /** The phase of a task on its machine. */
  public enum Phase {
    /** Waits for its image. */
    FETCHING,
    /** A gang's task that waits for the other tasks of its attempt. */
    WAITING,
    /** Runs. */
    RUNNING,
    /** Was stopped and saves its progress. */
    SAVING,
    /** Has exited, see {@link ExitReason}. */
    EXITED
  }

  /** Why a task exited, or why its start was refused. */
  public enum ExitReason {
    /** It is completed. */
    DONE,
    /** It was stopped by a command. */
    STOPPED,
    /** Another task of its running gang disappeared. */
    PEERS_GONE,
    /** Its gang was not complete in time. */
    GANG_INCOMPLETE,
    /** It failed, by a fault of the machine or by a mistake in the job. */
    ERROR,
    /** Its start was refused: the machine lacks free resources. */
    INSUFFICIENT_RESOURCES,
    /** Its start was refused: the machine has the task with another attempt. */
    OTHER_ATTEMPT,
    /** Its start was refused: the worker found no such job or task. */
    UNKNOWN
  }
}
