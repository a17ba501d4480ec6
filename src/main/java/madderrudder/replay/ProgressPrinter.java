package madderrudder.replay;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/** Prints once a second how far a long command has come. */
public final class ProgressPrinter {
  private static final long INTERVAL_NANOS = 1_000_000_000;

  /** The clock is read once in so many steps. */
  private static final int STEPS_PER_CLOCK_READ = 1_000;

  private final PrintStream err;
  private final String unit;
  private final LongSupplier nanoClock;
  private long lastPrintNanos;
  private long steps;

  /** A printer for steps of the unit, such as "runs read". */
  public ProgressPrinter(PrintStream err, String unit) {
    this(err, unit, System::nanoTime);
  }

  ProgressPrinter(PrintStream err, String unit, LongSupplier nanoClock) {
    this.err = err;
    this.unit = unit;
    this.nanoClock = nanoClock;
    lastPrintNanos = nanoClock.getAsLong();
  }

  /** Counts one more step, and prints the count if it is time. */
  public void step() {
    steps++;
    if (steps % STEPS_PER_CLOCK_READ != 0) {
      return;
    }
    long nowNanos = nanoClock.getAsLong();
    if (nowNanos - lastPrintNanos >= INTERVAL_NANOS) {
      lastPrintNanos = nowNanos;
      err.println(steps + " " + unit);
    }
  }
}
