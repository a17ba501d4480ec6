package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import madderrudder.estimates.TaskRun;

/**
 * The runs that this leader has seen end, the latest of them, numbered from 1: for operators to
 * collect. A new leader begins anew, which its term tells.
 */
public final class RunHistory {
  /** Some minutes of a large fleet's work; about 200 bytes each, in memory alone. */
  private static final int MOST_RUNS = 4_000;

  /** Of an answer, so that each stays within about 100 KB. */
  private static final int MOST_ANSWERED = 400;

  private final long term;
  private final Deque<Ended> runs = new ArrayDeque<>();
  private long last;

  /** A run and when it ended. */
  public record Ended(long atWallMicros, TaskRun run) {}

  public RunHistory(long term) {
    this.term = term;
  }

  public void add(long atWallMicros, TaskRun run) {
    if (runs.size() == MOST_RUNS) {
      runs.removeFirst();
    }
    runs.addLast(new Ended(atWallMicros, run));
    last++;
  }

  /**
   * The runs after the number, as many as go into an answer; {@code next} is to be asked for after
   * them.
   */
  public void write(JsonGenerator out, long after) throws IOException {
    long first = last - runs.size();
    long from = Math.max(first, Math.min(after, last));
    long next = Math.min(last, from + MOST_ANSWERED);
    out.writeNumberField("term", term);
    out.writeNumberField("missed", Math.max(0, first - after));
    out.writeNumberField("next", next);
    out.writeArrayFieldStart("runs");
    long number = first;
    for (Ended ended : runs) {
      if (++number > next) {
        break;
      }
      if (number > from) {
        out.writeStartObject();
        RunHistoryCodec.write(out, ended);
        out.writeEndObject();
      }
    }
    out.writeEndArray();
  }
}
