package madderrudder.replay;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/** Prints the number of steps that a long-running command has done, at most once a second. */
public final class ProgressPrinter {
  private static final long PRINT_INTERVAL_NANOS = 1_000_000_000;

  /** The number of steps between two reads of the clock. */
  private static final int STEPS_PER_CLOCK_READ = 1_000;

  private final PrintStream err;
  private final String unit;
  private final LongSupplier nanoClock;
  private long lastPrintNanos;
  private long steps;

  /**
   * Creates a printer.
   *
   * @param err the stream that the counts are printed to
   * @param unit what a step is, in the plural, such as "runs read"
   */
  public ProgressPrinter(PrintStream err, String unit) {
    this(err, unit, System::nanoTime);
  }

  ProgressPrinter(PrintStream err, String unit, LongSupplier nanoClock) {
    this.err = err;
    this.unit = unit;
    this.nanoClock = nanoClock;
    lastPrintNanos = nanoClock.getAsLong();
  }

  /** Counts one more step, and prints the count if the last print is at least a second ago. */
  public void step() {
    steps++;
    if (steps % STEPS_PER_CLOCK_READ != 0) {
      return;
    }
    long nowNanos = nanoClock.getAsLong();
    if (nowNanos - lastPrintNanos >= PRINT_INTERVAL_NANOS) {
      lastPrintNanos = nowNanos;
      err.println(steps + " " + unit);
    }
  }
}
