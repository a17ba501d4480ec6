package madderrudder.transport;

/**
 * Scheduler for code under test that reads the clock and sets no timers. The test sets the time;
 * {@link #execute} runs the action at once, on the calling thread.
 */
public final class ManualClock implements Scheduler {
  private long nowMicros;

  /** Creates a clock that shows the given time in microseconds. */
  public ManualClock(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  /** Sets the clock to the given time in microseconds. */
  public void set(long micros) {
    nowMicros = micros;
  }

  /** Advances the clock by the given number of microseconds. */
  public void advance(long micros) {
    nowMicros += micros;
  }

  @Override
  public long nowMicros() {
    return nowMicros;
  }

  @Override
  public long wallClockMicros() {
    return nowMicros;
  }

  @Override
  public Timer runAfter(long delayMicros, Runnable action) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void execute(Runnable action) {
    action.run();
  }
}
