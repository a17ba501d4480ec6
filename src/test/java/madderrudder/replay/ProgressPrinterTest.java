package madderrudder.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against progress output that floods the terminal: 4,000 steps take one second here. */
class ProgressPrinterTest {
  @Test
  void printsTheCountOncePerSecond() {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    AtomicLong nanos = new AtomicLong();
    ProgressPrinter progress =
        new ProgressPrinter(new PrintStream(out, true, StandardCharsets.UTF_8), "runs", nanos::get);
    for (int i = 0; i < 10_000; i++) {
      nanos.addAndGet(250_000);
      progress.step();
    }
    assertEquals(
        List.of("4000 runs", "8000 runs"), out.toString(StandardCharsets.UTF_8).lines().toList());
  }
}
