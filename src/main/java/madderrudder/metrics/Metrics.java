package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** How long things have taken since this process began, for operators to read. */
public final class Metrics {
  private static final long MOST_MICROS = 3_600_000_000L;
  private static final int DIGITS = 2;

  /** What is measured. */
  public enum Timing {
    /** A user's submission, from its arrival to its answer. */
    SUBMISSION,
    /** A task, from when it began to wait to its placement. */
    PLACING,
    /** A placement, until the store has it. */
    RECORDING,
    /** A task, from when it began to wait to the first report that it runs. */
    STARTING,
    /** One round of planning. */
    PLANNING,
    /** How late the loop's own timer went off. */
    LOOP_DELAY
  }

  private final Map<Timing, Histogram> histograms = new EnumMap<>(Timing.class);

  public Metrics() {
    for (Timing timing : Timing.values()) {
      histograms.put(timing, new Histogram(MOST_MICROS, DIGITS));
    }
  }

  public void record(Timing timing, long micros) {
    histograms.get(timing).recordValue(Math.max(0, Math.min(MOST_MICROS, micros)));
  }

  /**
   * Writes each timing as a field with its count and, in milliseconds, some of its distribution.
   */
  public void write(JsonGenerator out) throws IOException {
    for (Map.Entry<Timing, Histogram> entry : histograms.entrySet()) {
      Histogram histogram = entry.getValue();
      out.writeObjectFieldStart(entry.getKey().name().toLowerCase(Locale.ROOT));
      out.writeNumberField("count", histogram.getTotalCount());
      out.writeNumberField("p50_ms", histogram.getValueAtPercentile(50) / 1e3);
      out.writeNumberField("p90_ms", histogram.getValueAtPercentile(90) / 1e3);
      out.writeNumberField("p99_ms", histogram.getValueAtPercentile(99) / 1e3);
      out.writeNumberField("max_ms", histogram.getMaxValue() / 1e3);
      out.writeEndObject();
    }
  }
}
