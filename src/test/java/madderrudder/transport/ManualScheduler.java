package madderrudder.transport;

import java.util.ArrayList;
import java.util.List;

/**
 * Scheduler for code under test that sets timers. Its clock stands still, and timers run only when
 * the test calls {@link #runTimers}; {@link #execute} runs the action at once, on the calling
 * thread.
 */
public final class ManualScheduler implements Scheduler {
  private final List<Runnable> timers = new ArrayList<>();

  /** Runs all timers that are set and not cancelled, in the order in which they were set. */
  public void runTimers() {
    List<Runnable> due = List.copyOf(timers);
    timers.clear();
    due.forEach(Runnable::run);
  }

  @Override
  public long nowMicros() {
    return 0;
  }

  @Override
  public long wallClockMicros() {
    return 0;
  }

  @Override
  public Timer runAfter(long delayMicros, Runnable action) {
    timers.add(action);
    return () -> timers.remove(action);
  }

  @Override
  public void execute(Runnable action) {
    action.run();
  }
}
