package madderrudder.replay;

import java.io.PrintStream;
import java.util.function.LongSupplier;

/** Says once a second how far a long command has come. */
public final class Progress {
  private static final long EVERY_NANOS = 1_000_000_000;
  private static final int LOOK_EVERY = 1_000;

  private final PrintStream err;
  private final String what;
  private final LongSupplier nanos;
  private long saidNanos;
  private long count;

  public Progress(PrintStream err, String what) {
    this(err, what, System::nanoTime);
  }

  Progress(PrintStream err, String what, LongSupplier nanos) {
    this.err = err;
    this.what = what;
    this.nanos = nanos;
    saidNanos = nanos.getAsLong();
  }

  /** One more is done. */
  public void step() {
    if (++count % LOOK_EVERY == 0 && nanos.getAsLong() - saidNanos >= EVERY_NANOS) {
      saidNanos = nanos.getAsLong();
      err.println(count + " " + what);
    }
  }
}
