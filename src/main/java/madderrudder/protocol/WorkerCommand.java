package madderrudder.protocol;

/**
 * One command to a worker. A repeated command has no further effect, except that a start that
 * follows a reap starts the task again.
 *
 * @param operation the operation to perform on the task
 * @param task the task
 * @param attempt the number of the task's attempt
 * @param graceMicros the time that a stopped task has to save its progress; 0 for other operations
 */
public record WorkerCommand(Operation operation, TaskId task, long attempt, long graceMicros) {
  /** An operation that a worker performs on a task. */
  public enum Operation {
    /** Starts the task, unless the worker has this attempt in any state. */
    START,
    /** Stops the task. */
    STOP,
    /** Removes the exited task from the worker's heartbeats. */
    REAP
  }

  /** Returns a command that starts an attempt. */
  public static WorkerCommand start(TaskId task, long attempt) {
    return new WorkerCommand(Operation.START, task, attempt, 0);
  }

  /** Returns a command that stops an attempt; with a grace of 0 at once, without saving. */
  public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
    return new WorkerCommand(Operation.STOP, task, attempt, graceMicros);
  }

  /** Returns a command that removes an exited attempt from the worker's heartbeats. */
  public static WorkerCommand reap(TaskId task, long attempt) {
    return new WorkerCommand(Operation.REAP, task, attempt, 0);
  }
}
