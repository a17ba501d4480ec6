package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** When the tasks of one job may be started again after refused starts and failures. */
final class RetryBackoff {
  private static final long BACKOFF_MICROS = 1_000_000;
  private static final long MOST_BACKOFF_MICROS = 60_000_000;

  /** A job that has failed on so many machines without completing a task is at fault itself. */
  private static final int MACHINES_TO_BLAME_JOB = 4;

  /** For how long a task of the job avoids a machine on which one has failed. */
  private static final long AVOID_MACHINE_MICROS = 60_000_000;

  /**
   * The first wait of a job that earlier leaders found to be failing; long enough that such jobs
   * cause no burst beside the other work of a failover.
   */
  private static final long INHERITED_BACKOFF_MICROS = 10_000_000;

  private final Map<Integer, Long> notBeforeMicros = new HashMap<>();
  private final Map<Integer, Integer> failuresOfTask = new HashMap<>();
  private final Map<String, Long> failedOnMicros = new HashMap<>();

  /** Failures since the job was found to be failing, under this leader and earlier ones. */
  private int failuresSinceFailing;

  private boolean markedFailing;
  private long nextProbeMicros = Long.MIN_VALUE;

  boolean taskReady(int task, long nowMicros) {
    return nowMicros >= notBeforeMicros.getOrDefault(task, Long.MIN_VALUE);
  }

  boolean probeDue(long nowMicros) {
    return nowMicros >= nextProbeMicros;
  }

  void refused(int task, long nowMicros) {
    notBeforeMicros.put(task, nowMicros + BACKOFF_MICROS);
  }

  /** A task waits a little longer after its second failure. */
  void failed(int task, String machine, long nowMicros) {
    int count = failuresOfTask.merge(task, 1, Integer::sum);
    failedOnMicros.put(machine, nowMicros);
    notBeforeMicros.put(task, nowMicros + Math.min(2, count) * BACKOFF_MICROS);
  }

  /** The job waits as a whole, twice as long after each further failure. */
  void delayProbe(long nowMicros) {
    failuresSinceFailing++;
    nextProbeMicros =
        nowMicros
            + Math.min(MOST_BACKOFF_MICROS, BACKOFF_MICROS << Math.min(failuresSinceFailing, 10));
  }

  void markFailing(long nowMicros) {
    markedFailing = true;
    failuresSinceFailing = Math.max(failuresSinceFailing, MACHINES_TO_BLAME_JOB);
    nextProbeMicros = nowMicros + INHERITED_BACKOFF_MICROS;
  }

  /** Whether the job would be failing, given that it never completed a task. */
  boolean blamesJob() {
    return markedFailing || failedOnMicros.size() >= MACHINES_TO_BLAME_JOB;
  }

  boolean failedLatelyOn(String machine, long nowMicros) {
    Long failed = failedOnMicros.get(machine);
    return failed != null && nowMicros - failed < AVOID_MACHINE_MICROS;
  }

  Set<String> machinesFailedOn() {
    return failedOnMicros.keySet();
  }
}
