package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;

/**
 * Task failures on one machine, by job. Failures of different jobs within a while point at the
 * machine rather than at a job, and cordon it for some time.
 */
final class FailureTracker {
  private static final int JOBS_TO_CORDON = 2;

  private final Map<String, Long> lastFailureMicros = new HashMap<>();
  private long cordonedUntilMicros;

  void recordFailure(String job, long nowMicros, long windowMicros, long cordonMicros) {
    lastFailureMicros.values().removeIf(failed -> nowMicros - failed > windowMicros);
    lastFailureMicros.put(job, nowMicros);
    if (lastFailureMicros.size() >= JOBS_TO_CORDON) {
      cordonedUntilMicros = nowMicros + cordonMicros;
    }
  }

  /** The failures of the job were the job's own fault, and say nothing about the machine. */
  void clearFailure(String job) {
    if (lastFailureMicros.remove(job) != null && lastFailureMicros.size() < JOBS_TO_CORDON) {
      cordonedUntilMicros = 0;
    }
  }

  boolean cordoned(long nowMicros) {
    return nowMicros < cordonedUntilMicros;
  }
}
