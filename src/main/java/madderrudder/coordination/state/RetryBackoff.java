package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;

/** Delays new starts of single tasks of one job after refused starts and failures. */
final class RetryBackoff {
  private static final long BACKOFF_MICROS = 1_000_000;

  private final Map<Integer, Long> earliestStartMicros = new HashMap<>();
  private final Map<Integer, Integer> failureCounts = new HashMap<>();

  /** Whether the backoff of the task has ended. */
  boolean isTaskReady(int task, long nowMicros) {
    return nowMicros >= earliestStartMicros.getOrDefault(task, Long.MIN_VALUE);
  }

  /** Records that a worker refused to start the task. */
  void recordRefusal(int task, long nowMicros) {
    earliestStartMicros.put(task, nowMicros + BACKOFF_MICROS);
  }

  /** Records a failure of the task; the delay doubles with its second failure and then stays. */
  void recordFailure(int task, long nowMicros) {
    int count = failureCounts.merge(task, 1, Integer::sum);
    earliestStartMicros.put(task, nowMicros + Math.min(2, count) * BACKOFF_MICROS);
  }
}
