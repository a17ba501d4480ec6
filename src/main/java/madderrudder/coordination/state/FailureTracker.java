package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks task failures on one machine, by job. Failures of several jobs within a time window
 * indicate a fault of the machine rather than of a job, so the machine is cordoned for some time.
 */
final class FailureTracker {
  private static final int FAILED_JOBS_TO_CORDON = 2;

  private final Map<String, Long> lastFailureMicros = new HashMap<>();
  private long cordonedUntilMicros;

  /**
   * Records a failure of the job, and cordons the machine if several jobs have failed on it.
   *
   * @param windowMicros how long a failure counts
   * @param cordonMicros how long the machine is cordoned
   */
  void recordFailure(String job, long nowMicros, long windowMicros, long cordonMicros) {
    lastFailureMicros.values().removeIf(failed -> nowMicros - failed > windowMicros);
    lastFailureMicros.put(job, nowMicros);
    if (lastFailureMicros.size() >= FAILED_JOBS_TO_CORDON) {
      cordonedUntilMicros = nowMicros + cordonMicros;
    }
  }

  /**
   * Discards the failures of a job that is itself at fault, and lifts a cordon that needed them.
   */
  void clearFailure(String job) {
    if (lastFailureMicros.remove(job) != null && lastFailureMicros.size() < FAILED_JOBS_TO_CORDON) {
      cordonedUntilMicros = 0;
    }
  }

  /** Whether no tasks are placed on the machine at the given time. */
  boolean cordoned(long nowMicros) {
    return nowMicros < cordonedUntilMicros;
  }
}
