package madderrudder.transport;

import java.util.concurrent.Executor;

/**
 * The clock and the one thread of the program. Everything that owns state runs on one scheduler, so
 * that tests can run the real code in virtual time. Only {@link #execute} and the clocks may be
 * used on any thread.
 */
public interface Scheduler extends Executor {
  /**
   * The steady clock in microseconds, from an arbitrary origin. It may run fast or slow by the
   * drift bound, and never jumps.
   */
  long nowMicros();

  /** The time of day in microseconds since 1970, within the bound given in the settings. */
  long wallMicros();

  /** Runs the action once, after the delay, on the scheduler's thread. */
  Timer after(long delayMicros, Runnable action);

  /** Repeats the action, with the period between the end of one run and the start of the next. */
  default void every(long periodMicros, Runnable action) {
    after(
        periodMicros,
        () -> {
          action.run();
          every(periodMicros, action);
        });
  }

  /** A handle to a pending action. */
  interface Timer {
    /** Prevents the action from running if it has not run yet. */
    void cancel();
  }
}
