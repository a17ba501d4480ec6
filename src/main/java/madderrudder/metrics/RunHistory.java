package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.estimates.TaskRun;

/**
 * The latest task runs that this leader has seen end, numbered from 1, for operators to collect
 * through {@code GET /history/N}. It is kept in memory alone: a new leader begins at 1 again, which
 * collectors notice by the term. Confined to the event loop thread.
 */
public final class RunHistory {
  /** Some minutes of a large cluster's work, at about 200 bytes a run. */
  private static final int MAX_RUNS = 4_000;

  /** Runs in one response, so that it stays within about 100 KB. */
  private static final int MAX_RUNS_PER_RESPONSE = 400;

  private final long term;
  private final Deque<EndedRun> runs = new ArrayDeque<>();

  /** The number of the latest run; 0 before the first. */
  private long lastNumber;

  /**
   * A run and when it ended.
   *
   * @param atWallMicros the time of day of its end, in microseconds since the epoch
   * @param run the run
   */
  public record EndedRun(long atWallMicros, TaskRun run) {}

  /**
   * Creates an empty history.
   *
   * @param term the leader's term
   */
  public RunHistory(long term) {
    this.term = term;
  }

  /**
   * Adds a run; the oldest one is dropped if there are too many.
   *
   * @param atWallMicros the time of day of its end, in microseconds since the epoch
   * @param run the run
   */
  public void add(long atWallMicros, TaskRun run) {
    if (runs.size() == MAX_RUNS) {
      runs.removeFirst();
    }
    runs.addLast(new EndedRun(atWallMicros, run));
    lastNumber++;
  }

  /**
   * Writes the runs after a number, as many as go into one response: the fields {@code term},
   * {@code missed} (how many of the runs asked for were dropped already), {@code next} (the number
   * to ask after next) and {@code runs}.
   *
   * @param out the generator, inside an object
   * @param after the number of the last run that the collector has; 0 for all
   * @throws IOException if the generator fails
   */
  public void write(JsonGenerator out, long after) throws IOException {
    long lastDropped = lastNumber - runs.size();
    long from = Math.max(lastDropped, Math.min(after, lastNumber));
    long next = Math.min(lastNumber, from + MAX_RUNS_PER_RESPONSE);
    out.writeNumberField("term", term);
    out.writeNumberField("missed", Math.max(0, lastDropped - after));
    out.writeNumberField("next", next);
    out.writeArrayFieldStart("runs");
    writeRuns(out, from, next);
    out.writeEndArray();
  }

  /** Writes the runs numbered above {@code from}, up to {@code last}. */
  private void writeRuns(JsonGenerator out, long from, long last) throws IOException {
    long number = lastNumber - runs.size();
    for (EndedRun ended : runs) {
      number++;
      if (number > last) {
        return;
      }
      if (number > from) {
        out.writeStartObject();
        RunHistoryCodec.write(out, ended);
        out.writeEndObject();
      }
    }
  }
}
