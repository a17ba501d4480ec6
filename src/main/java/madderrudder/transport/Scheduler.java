package madderrudder.transport;

import java.util.concurrent.Executor;

/**
 * Time and turn-taking as the rest of the program sees them. Everything that owns state runs on one
 * scheduler, so that a test can put virtual time underneath the real code.
 */
public interface Scheduler extends Executor {
  /** The steady clock. It may run fast or slow by the drift bound, and never jumps. */
  long nowMicros();

  /** The time of day, only good to the bound given in the settings. */
  long wallMicros();

  /** Runs the action once, after the delay, on the scheduler's thread. */
  Timer after(long delayMicros, Runnable action);

  /** Repeats the action with the period between the end of one run and the start of the next. */
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
    void cancel();
  }
}
