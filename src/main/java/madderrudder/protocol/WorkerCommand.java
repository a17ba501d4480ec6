package madderrudder.protocol;

/**
 * One command to a worker. Each may be repeated, except that a start after a reap starts the task
 * again.
 *
 * @param operation what to do
 * @param task the task
 * @param attempt the number of the task's attempt
 * @param graceMicros the time that a stopped task gets to save; 0 unless it is a stop
 */
public record WorkerCommand(Operation operation, TaskId task, long attempt, long graceMicros) {
  /** What a worker can be told to do with a task. */
  public enum Operation {
    /** Starts the task, unless the worker has this attempt in any state. */
    START,
    /** Stops the task. */
    STOP,
    /** Removes the exited task from the worker's reports. */
    REAP
  }

  /** Starts an attempt. */
  public static WorkerCommand start(TaskId task, long attempt) {
    return new WorkerCommand(Operation.START, task, attempt, 0);
  }

  /** Stops an attempt; with a grace of 0 at once, without saving. */
  public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
    return new WorkerCommand(Operation.STOP, task, attempt, graceMicros);
  }

  /** Removes an exited attempt from the worker's reports. */
  public static WorkerCommand reap(TaskId task, long attempt) {
    return new WorkerCommand(Operation.REAP, task, attempt, 0);
  }
}
