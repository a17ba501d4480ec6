package madderrudder.transport;

import java.util.concurrent.Executor;

/**
 * Provides the clocks and runs actions on a single thread. All code that owns state runs on one
 * scheduler, so tests can run the production code in virtual time. Only {@link #execute} and the
 * clocks may be used on any thread.
 */
public interface Scheduler extends Executor {
  /**
   * Returns the monotonic clock in microseconds, from an arbitrary origin. It never jumps, but its
   * rate may deviate from real time by the drift bound.
   */
  long nowMicros();

  /**
   * Returns the wall clock in microseconds since 1970. Its error is within the bound given in the
   * settings.
   */
  long wallClockMicros();

  /** Runs the action once, after the delay, on the thread of the scheduler. */
  Timer runAfter(long delayMicros, Runnable action);

  /**
   * Runs the action repeatedly. The period is the time before the first run, and from the end of
   * each run to the start of the next.
   */
  default void runEvery(long periodMicros, Runnable action) {
    runAfter(
        periodMicros,
        () -> {
          action.run();
          runEvery(periodMicros, action);
        });
  }

  /** Handle of a scheduled action. */
  interface Timer {
    /** Cancels the action. Has no effect if it has already run. */
    void cancel();
  }
}
