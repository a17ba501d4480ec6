package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.math.BigDecimal;
import java.util.List;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;

/**
 * Reads and writes the fields of one run of a history, which are the same in {@code GET /history/N}
 * and in files. Times are in seconds, memory is in GB. Stateless.
 */
public final class RunHistoryCodec {
  /** The field names, in the order of the columns of a CSV file. */
  public static final List<String> FIELDS =
      List.of(
          "at_s",
          "job",
          "task",
          "attempt",
          "class",
          "team",
          "image",
          "cpus",
          "gpus",
          "memory_gb",
          "type",
          "machine",
          "guess_s",
          "took_s",
          "end");

  /** The value of {@code end} for a run from the start of the task until its completion. */
  private static final String COMPLETE = "done";

  /** The value of {@code end} for a run that was stopped or that resumed from a checkpoint. */
  private static final String PARTIAL = "part";

  private RunHistoryCodec() {}

  /**
   * Writes the fields of a run.
   *
   * @param out the generator, inside an object
   * @param ended the run
   * @throws IOException if the generator fails
   */
  public static void write(JsonGenerator out, EndedRun ended) throws IOException {
    TaskRun run = ended.run();
    TaskProfile profile = run.profile();
    out.writeNumberField("at_s", ended.atWallMicros() / 1e6);
    out.writeStringField("job", profile.job());
    out.writeNumberField("task", run.taskIndex());
    out.writeNumberField("attempt", run.attempt());
    out.writeStringField("class", profile.jobClass());
    out.writeStringField("team", profile.team());
    out.writeStringField("image", profile.image());
    out.writeNumberField("cpus", profile.resources().cpus());
    out.writeNumberField("gpus", profile.resources().gpus());
    out.writeNumberField("memory_gb", profile.resources().memoryGb());
    out.writeStringField("type", run.machineType());
    out.writeStringField("machine", run.machine());
    out.writeNumberField("guess_s", run.ownerEstimateMicros() / 1e6);
    out.writeNumberField("took_s", run.durationMicros() / 1e6);
    out.writeStringField("end", run.complete() ? COMPLETE : PARTIAL);
  }

  /**
   * Reads a run. Only {@code job}, {@code class}, {@code task}, {@code took_s} and {@code end} are
   * required; any other text field is empty when it is absent, and any other number is 0.
   *
   * @param in the fields of the run
   * @throws MalformedMessageException if a required field is missing, or any field is invalid
   */
  public static EndedRun read(JsonFields in) throws MalformedMessageException {
    TaskProfile profile =
        new TaskProfile(
            in.text("job"),
            in.text("class"),
            in.text("team", ""),
            in.text("image", ""),
            Resources.required(
                in.decimal("cpus", BigDecimal.ZERO),
                in.decimal("gpus", BigDecimal.ZERO),
                in.decimal("memory_gb", BigDecimal.ZERO)));
    boolean complete = readComplete(in);
    TaskRun run =
        new TaskRun(
            profile,
            in.intCount("task"),
            in.count("attempt", 0),
            in.text("type", ""),
            in.text("machine", ""),
            in.secondsAsMicros("guess_s", 0),
            in.secondsAsMicros("took_s"),
            complete);
    // Not secondsAsMicros: a time since the epoch exceeds the limit on durations.
    return new EndedRun(Math.round(1e6 * in.amount("at_s", 0)), run);
  }

  /** Returns whether {@code end} marks a complete run. */
  private static boolean readComplete(JsonFields in) throws MalformedMessageException {
    return switch (in.text("end")) {
      case COMPLETE -> true;
      case PARTIAL -> false;
      default ->
          throw new MalformedMessageException(
              "field end is neither " + COMPLETE + " nor " + PARTIAL);
    };
  }
}
