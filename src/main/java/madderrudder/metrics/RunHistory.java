package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.estimates.TaskRun;

/**
 * The latest task runs that ended under this leader, numbered from 1, for operators to collect
 * through {@code GET /history/N}. The history is kept in memory only: a new leader starts at 1
 * again, which collectors detect by the changed term. Confined to the event loop thread.
 */
public final class RunHistory {
  /** Covers some minutes of a large cluster's work, at about 200 bytes per run. */
  private static final int MAX_RUNS = 4_000;

  /** Limits a response to about 100 KB. */
  private static final int MAX_RUNS_PER_RESPONSE = 400;

  private final long term;
  private final Deque<EndedRun> runs = new ArrayDeque<>();

  /** The number of the latest run; 0 before the first. */
  private long lastNumber;

  /**
   * A run and the time when it ended.
   *
   * @param atWallMicros the wall-clock time of its end, in microseconds since the epoch
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
   * Adds a run and drops the oldest one if the history is full.
   *
   * @param atWallMicros the wall-clock time of its end, in microseconds since the epoch
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
   * Writes the runs after a number, up to the maximum for one response, as the fields {@code term},
   * {@code missed} (how many of the requested runs were already dropped), {@code next} (the value
   * of {@code after} for the next request) and {@code runs}.
   *
   * @param out the generator, inside an object
   * @param after the number of the last run that the collector has received; 0 for all runs
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

  /** Writes the runs with numbers above {@code after}, up to and including {@code last}. */
  private void writeRuns(JsonGenerator out, long after, long last) throws IOException {
    long number = lastNumber - runs.size();
    for (EndedRun ended : runs) {
      number++;
      if (number > last) {
        return;
      }
      if (number > after) {
        out.writeStartObject();
        RunHistoryCodec.write(out, ended);
        out.writeEndObject();
      }
    }
  }
}
