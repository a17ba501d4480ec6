package madderrudder.transport;

/** A scheduler for code that only reads the clock, which a test sets by hand. */
public final class ManualClock implements Scheduler {
  private long nowMicros;

  /** A clock that stands at the moment given. */
  public ManualClock(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  /** Sets the clock. */
  public void set(long micros) {
    nowMicros = micros;
  }

  /** Moves the clock on. */
  public void advance(long micros) {
    nowMicros += micros;
  }

  @Override
  public long nowMicros() {
    return nowMicros;
  }

  @Override
  public long wallMicros() {
    return nowMicros;
  }

  @Override
  public Timer after(long delayMicros, Runnable action) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void execute(Runnable action) {
    action.run();
  }
}
