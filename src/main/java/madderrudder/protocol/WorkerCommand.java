package madderrudder.protocol;

/** One command to a worker; {@code graceMicros} matters to a stop only. */
public record WorkerCommand(Op op, TaskId task, long attempt, long graceMicros) {
  /** What a worker can be told to do with a task. */
  public enum Op {
    START,
    STOP,
    FORGET
  }

  public static WorkerCommand start(TaskId task, long attempt) {
    return new WorkerCommand(Op.START, task, attempt, 0);
  }

  public static WorkerCommand stop(TaskId task, long attempt, long graceMicros) {
    return new WorkerCommand(Op.STOP, task, attempt, graceMicros);
  }

  public static WorkerCommand forget(TaskId task, long attempt) {
    return new WorkerCommand(Op.FORGET, task, attempt, 0);
  }
}
