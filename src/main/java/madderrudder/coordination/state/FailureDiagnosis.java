package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Decides from the failures of one job's tasks whether the job itself is at fault, because its
 * tasks fail on every machine, and delays further starts of such a job. Times are in microseconds
 * of the leader's monotonic clock.
 */
final class FailureDiagnosis {
  /** A job that has failed on this many machines without completing a task is itself at fault. */
  private static final int FAILED_MACHINES_TO_BLAME_JOB = 4;

  /** Failures that are further apart than this are treated as unrelated. */
  private static final long FAILURE_MEMORY_MICROS = 600_000_000;

  /** How long the tasks of the job avoid a machine on which one of them has failed. */
  private static final long AVOID_MACHINE_MICROS = 60_000_000;

  private static final long MIN_PROBE_DELAY_MICROS = 1_000_000;
  private static final long MAX_PROBE_DELAY_MICROS = 60_000_000;

  /** Limits the shift that doubles the delay; the maximum delay is reached long before. */
  private static final int MAX_DELAY_DOUBLINGS = 10;

  /**
   * The first delay of a job that an earlier leader found to be failing. It is long enough that
   * such jobs add no burst of starts to the work of a failover.
   */
  private static final long INHERITED_PROBE_DELAY_MICROS = 10_000_000;

  /** A task that has run for less time proves nothing, however soon other tasks have failed. */
  private static final long MIN_SOUND_RUN_MICROS = 20_000_000;

  /**
   * The same time for a finding of an earlier leader, because it is not known how long the failed
   * tasks ran. A waiting task must be started within 90 s of the failover.
   */
  private static final long INHERITED_MIN_SOUND_RUN_MICROS = 45_000_000;

  /** A sound run is longer than that of any failed task by this factor. */
  private static final int SOUND_RUN_FACTOR = 2;

  private final Map<String, Long> lastFailureMicros = new HashMap<>();
  private boolean failing;
  private boolean inherited;
  private long lastEvidenceMicros;
  private long longestFailedRunMicros;

  /** Failures since the job was found to be failing, under this leader and earlier ones. */
  private int failuresSinceFailing;

  private long nextProbeMicros = Long.MIN_VALUE;

  /**
   * Records a failure of a task.
   *
   * @param ranMicros how long the task was reported as running; 0 if it was not
   */
  void recordFailure(String machine, long ranMicros, long nowMicros) {
    lastFailureMicros.values().removeIf(failed -> nowMicros - failed > FAILURE_MEMORY_MICROS);
    lastFailureMicros.put(machine, nowMicros);
    longestFailedRunMicros = Math.max(longestFailedRunMicros, ranMicros);
    lastEvidenceMicros = nowMicros;
  }

  /**
   * Whether the failures are the fault of the job, provided that it has never completed a task and
   * that none of its tasks runs soundly.
   */
  boolean indicatesFailingJob() {
    return lastFailureMicros.size() >= FAILED_MACHINES_TO_BLAME_JOB;
  }

  /** Whether the job was found to be at fault, and that finding has not ended. */
  boolean failing() {
    return failing;
  }

  /** Records that the job was found to be at fault. */
  void markFailing() {
    failing = true;
  }

  /** Records that an earlier leader found the job to be at fault. */
  void inheritFailing(long nowMicros) {
    failing = true;
    inherited = true;
    lastEvidenceMicros = nowMicros;
    failuresSinceFailing = Math.max(failuresSinceFailing, FAILED_MACHINES_TO_BLAME_JOB);
    nextProbeMicros = nowMicros + INHERITED_PROBE_DELAY_MICROS;
  }

  /** Ends the finding that the job is at fault, and discards the failures that led to it. */
  void clearFailing() {
    failing = false;
    inherited = false;
    lastFailureMicros.clear();
    failuresSinceFailing = 0;
    nextProbeMicros = Long.MIN_VALUE;
  }

  /** Delays the next start of any task of the job; the delay doubles with each further failure. */
  void delayProbe(long nowMicros) {
    failuresSinceFailing++;
    long delayMicros =
        MIN_PROBE_DELAY_MICROS << Math.min(failuresSinceFailing, MAX_DELAY_DOUBLINGS);
    nextProbeMicros = nowMicros + Math.min(MAX_PROBE_DELAY_MICROS, delayMicros);
  }

  /** Whether the delay of the whole job has ended, so that one task may be started to probe it. */
  boolean isProbeDue(long nowMicros) {
    return nowMicros >= nextProbeMicros;
  }

  /** Returns how long a task has to run for its job not to be one that fails on every machine. */
  long soundRunMicros() {
    long minMicros = inherited ? INHERITED_MIN_SOUND_RUN_MICROS : MIN_SOUND_RUN_MICROS;
    return Math.max(minMicros, SOUND_RUN_FACTOR * longestFailedRunMicros);
  }

  /** Whether no task has failed for so long that the earlier failures prove nothing any more. */
  boolean outdated(long nowMicros) {
    return nowMicros - lastEvidenceMicros > FAILURE_MEMORY_MICROS;
  }

  /** Whether the tasks of the job avoid the machine after a recent failure on it. */
  boolean failedRecentlyOn(String machine, long nowMicros) {
    Long failed = lastFailureMicros.get(machine);
    return failed != null && nowMicros - failed < AVOID_MACHINE_MICROS;
  }

  /** The machines whose failures count as evidence against the job. */
  Set<String> machinesFailedOn() {
    return lastFailureMicros.keySet();
  }
}
