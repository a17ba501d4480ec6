package madderrudder.protocol;

/** One task as a worker reports it. {@code why} is null unless it exited. */
public record TaskStatus(TaskId task, long attempt, Phase phase, ExitReason why, boolean saved) {
  /** Where the task stands on its machine. */
  public enum Phase {
    FETCHING,
    WAITING,
    RUNNING,
    SAVING,
    EXITED
  }

  /** Why a task exited, or why its start was refused. */
  public enum ExitReason {
    DONE,
    STOPPED,
    PEERS,
    ALONE,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN
  }
}
