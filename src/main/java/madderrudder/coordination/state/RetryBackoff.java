package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Delays new starts of the tasks of one job after refused starts and failures. */
final class RetryBackoff {
  private static final long BACKOFF_MICROS = 1_000_000;
  private static final long MAX_BACKOFF_MICROS = 60_000_000;

  /** A job that has failed on this many machines without completing a task is itself at fault. */
  private static final int FAILED_MACHINES_TO_BLAME_JOB = 4;

  /** How long the tasks of the job avoid a machine on which one of them has failed. */
  private static final long AVOID_MACHINE_MICROS = 60_000_000;

  /**
   * The first delay of a job that an earlier leader marked as failing. It is long enough that such
   * jobs add no burst of starts to the work of a failover.
   */
  private static final long INHERITED_BACKOFF_MICROS = 10_000_000;

  private final Map<Integer, Long> earliestStartMicros = new HashMap<>();
  private final Map<Integer, Integer> failureCounts = new HashMap<>();
  private final Map<String, Long> lastFailureMicros = new HashMap<>();

  /** Failures since the job was found to be failing, under this leader and earlier ones. */
  private int failuresSinceFailing;

  private boolean markedFailing;
  private long nextProbeMicros = Long.MIN_VALUE;

  /** Whether the backoff of the task has ended. */
  boolean isTaskReady(int task, long nowMicros) {
    return nowMicros >= earliestStartMicros.getOrDefault(task, Long.MIN_VALUE);
  }

  /** Whether the delay of the whole job has ended, so that one task may be started to probe it. */
  boolean isProbeDue(long nowMicros) {
    return nowMicros >= nextProbeMicros;
  }

  /** Records that a worker refused to start the task. */
  void recordRefusal(int task, long nowMicros) {
    earliestStartMicros.put(task, nowMicros + BACKOFF_MICROS);
  }

  /** Records a failure of the task; the delay doubles with its second failure and then stays. */
  void recordFailure(int task, String machine, long nowMicros) {
    int count = failureCounts.merge(task, 1, Integer::sum);
    lastFailureMicros.put(machine, nowMicros);
    earliestStartMicros.put(task, nowMicros + Math.min(2, count) * BACKOFF_MICROS);
  }

  /** Delays the next start of any task of the job; the delay doubles with each further failure. */
  void delayProbe(long nowMicros) {
    failuresSinceFailing++;
    nextProbeMicros =
        nowMicros
            + Math.min(MAX_BACKOFF_MICROS, BACKOFF_MICROS << Math.min(failuresSinceFailing, 10));
  }

  /** Records that an earlier leader marked the job as failing. */
  void markFailing(long nowMicros) {
    markedFailing = true;
    failuresSinceFailing = Math.max(failuresSinceFailing, FAILED_MACHINES_TO_BLAME_JOB);
    nextProbeMicros = nowMicros + INHERITED_BACKOFF_MICROS;
  }

  /** Whether the failures are the fault of the job, provided that it never completed a task. */
  boolean indicatesFailingJob() {
    return markedFailing || lastFailureMicros.size() >= FAILED_MACHINES_TO_BLAME_JOB;
  }

  /** Whether the tasks of the job avoid the machine after a recent failure on it. */
  boolean failedRecentlyOn(String machine, long nowMicros) {
    Long failed = lastFailureMicros.get(machine);
    return failed != null && nowMicros - failed < AVOID_MACHINE_MICROS;
  }

  /** The machines on which tasks of the job have failed, however long ago. */
  Set<String> machinesFailedOn() {
    return lastFailureMicros.keySet();
  }
}
