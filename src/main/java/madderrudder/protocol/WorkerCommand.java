package madderrudder.protocol;

/**
 * One command to a worker. Each may be repeated, except that a start after a reap starts the task
 * again.
 *
 * @param op what to do
 * @param task the task
 * @param attempt the number of the task's attempt
 * @param graceMicros the time that a stopped task gets to save; 0 unless it is a stop
 */
public record WorkerCommand(Op op, TaskId task, long attempt, long graceMicros) {
  /** What a worker can be told to do with a task. */
  public enum Op {
    /** Starts the task, unless the worker has this attempt in any state. */
    START,
    /** Stops the task. */
    STOP,
    /** Removes the exited task from the worker's reports. */
    FORGET
  }

  /** Starts an attempt. */
  public static WorkerCommand start(TaskId task, long attempt) {
    return new WorkerCommand(Op.START, task, attempt, 0);
  }

  /** Stops an attempt; with a grace of 0 at once, without saving. */
  public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
    return new WorkerCommand(Op.STOP, task, attempt, graceMicros);
  }

  /** Removes an exited attempt from the worker's reports. */
  public static WorkerCommand forget(TaskId task, long attempt) {
    return new WorkerCommand(Op.FORGET, task, attempt, 0);
  }
}
