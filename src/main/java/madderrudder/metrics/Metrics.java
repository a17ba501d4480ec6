package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Histograms of the durations measured since the start of this process, served in {@code GET
 * /metrics}. Confined to the event loop thread.
 */
public final class Metrics {
  /** The upper bound of recorded durations, one hour; longer ones are recorded as this. */
  private static final long MAX_MICROS = 3_600_000_000L;

  private static final int SIGNIFICANT_DIGITS = 2;

  /**
   * A measured duration. The name of the constant in lower case is its field in {@code GET
   * /metrics}.
   */
  public enum Timing {
    /** From the arrival of a job submission until its response. */
    SUBMISSION,
    /** From when a task became pending until its placement. */
    PLACING,
    /** From a task's placement until the placement is durable in the store. */
    RECORDING,
    /** From when a task became pending until the first heartbeat that reports it running. */
    STARTING,
    /** One round of planning by the leader. */
    PLANNING,
    /** The delay of a timer of the event loop past its due time. */
    LOOP_DELAY
  }

  private final Map<Timing, Histogram> histograms = new EnumMap<>(Timing.class);

  /** Creates empty histograms. */
  public Metrics() {
    for (Timing timing : Timing.values()) {
      histograms.put(timing, new Histogram(MAX_MICROS, SIGNIFICANT_DIGITS));
    }
  }

  /**
   * Records one duration.
   *
   * @param timing the histogram to add to
   * @param micros the duration in microseconds; a negative one counts as 0, and one above an hour
   *     as an hour
   */
  public void record(Timing timing, long micros) {
    histograms.get(timing).recordValue(Math.max(0, Math.min(MAX_MICROS, micros)));
  }

  /**
   * Writes each timing as a field: an object with its count and, in milliseconds, its median, 90th
   * and 99th percentile and maximum.
   *
   * @param out the generator, inside an object
   * @throws IOException if the generator fails
   */
  public void write(JsonGenerator out) throws IOException {
    for (Map.Entry<Timing, Histogram> entry : histograms.entrySet()) {
      out.writeObjectFieldStart(entry.getKey().name().toLowerCase(Locale.ROOT));
      writeDistribution(out, entry.getValue());
      out.writeEndObject();
    }
  }

  private static void writeDistribution(JsonGenerator out, Histogram histogram) throws IOException {
    out.writeNumberField("count", histogram.getTotalCount());
    out.writeNumberField("p50_ms", histogram.getValueAtPercentile(50) / 1e3);
    out.writeNumberField("p90_ms", histogram.getValueAtPercentile(90) / 1e3);
    out.writeNumberField("p99_ms", histogram.getValueAtPercentile(99) / 1e3);
    out.writeNumberField("max_ms", histogram.getMaxValue() / 1e3);
  }
}
