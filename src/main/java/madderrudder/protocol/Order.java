package madderrudder.protocol;

/** One command to a worker; {@code graceMicros} matters to a stop only. */
public record Order(Op op, TaskId task, long attempt, long graceMicros) {
  /** What a worker can be told to do with a task. */
  public enum Op {
    START,
    STOP,
    FORGET
  }

  public static Order start(TaskId task, long attempt) {
    return new Order(Op.START, task, attempt, 0);
  }

  public static Order stop(TaskId task, long attempt, long graceMicros) {
    return new Order(Op.STOP, task, attempt, graceMicros);
  }

  public static Order forget(TaskId task, long attempt) {
    return new Order(Op.FORGET, task, attempt, 0);
  }
}
