package madderrudder.protocol;

/**
 * The status of one task attempt on a machine, as the worker reports it.
 *
 * @param task the task
 * @param attempt the number of the attempt
 * @param phase its phase on the machine
 * @param exitReason why it exited or why its start was refused; null unless the phase is {@link
 *     Phase#EXITED}
 * @param saved whether it saved its progress when it was stopped
 */
public record TaskStatus(
    TaskId task, long attempt, Phase phase, ExitReason exitReason, boolean saved) {
  /** The phase of a task on its machine. */
  public enum Phase {
    /** The worker fetches the task's image. */
    FETCHING,
    /** The task belongs to a gang and waits for the gang's other tasks of the same attempt. */
    WAITING,
    /** The task runs. */
    RUNNING,
    /** The task was stopped and saves its progress. */
    SAVING,
    /** The task has exited or its start was refused; see {@link ExitReason}. */
    EXITED
  }

  /** Why a task exited, or why its start was refused. */
  public enum ExitReason {
    /** The task completed. */
    DONE,
    /** A command stopped the task. */
    STOPPED,
    /** Another task of the task's running gang disappeared. */
    PEERS_GONE,
    /** The other tasks of the task's gang did not become ready in time. */
    GANG_INCOMPLETE,
    /** The task failed because of a machine fault or an error in the job. */
    ERROR,
    /** The worker refused the start: the machine lacks free resources. */
    INSUFFICIENT_RESOURCES,
    /** The worker refused the start: the machine has another attempt of the task. */
    OTHER_ATTEMPT,
    /** The worker refused the start: it found no such job or task. */
    UNKNOWN
  }
}
