package madderrudder.metrics;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.Ended;
import madderrudder.protocol.Fields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;

/** The words of a history of runs, in a controller's answer as in files. Times are in seconds. */
public final class RunHistoryCodec {
  /** The fields in the order of a table's columns. */
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

  private static final String DONE = "done";

  /** Stopped, or resumed what an earlier attempt had saved. */
  private static final String PART = "part";

  private RunHistoryCodec() {}

  public static void write(JsonGenerator out, Ended ended) throws IOException {
    TaskRun run = ended.run();
    TaskProfile profile = run.profile();
    out.writeNumberField("at_s", ended.atWallMicros() / 1e6);
    out.writeStringField("job", profile.job());
    out.writeNumberField("task", run.task());
    out.writeNumberField("attempt", run.attempt());
    out.writeStringField("class", profile.jobClass());
    out.writeStringField("team", profile.team());
    out.writeStringField("image", profile.image());
    out.writeNumberField("cpus", profile.resources().milliCpus() / 1e3);
    out.writeNumberField("gpus", profile.resources().milliGpus() / 1e3);
    out.writeNumberField("memory_gb", profile.resources().memoryMb() / 1e3);
    out.writeStringField("type", run.machineType());
    out.writeStringField("machine", run.machine());
    out.writeNumberField("guess_s", run.ownerEstimateMicros() / 1e6);
    out.writeNumberField("took_s", run.durationMicros() / 1e6);
    out.writeStringField("end", run.complete() ? DONE : PART);
  }

  public static Ended read(Fields in) throws MalformedMessageException {
    TaskProfile profile =
        new TaskProfile(
            in.text("job"),
            in.text("class"),
            in.text("team", ""),
            in.text("image", ""),
            new Resources(
                thousandths(in, "cpus"), thousandths(in, "gpus"), thousandths(in, "memory_gb")));
    String end = in.text("end");
    if (!end.equals(DONE) && !end.equals(PART)) {
      throw new MalformedMessageException("field end is neither " + DONE + " nor " + PART);
    }
    TaskRun run =
        new TaskRun(
            profile,
            in.smallCount("task"),
            in.count("attempt", 0),
            in.text("type", ""),
            in.text("machine", ""),
            in.secondsAsMicros("guess_s", 0),
            in.secondsAsMicros("took_s"),
            end.equals(DONE));
    // A time of day is more seconds than any duration may be.
    return new Ended(Math.round(1e6 * in.amount("at_s", 0)), run);
  }

  private static long thousandths(Fields in, String name) throws MalformedMessageException {
    return Math.round(1e3 * in.amount(name, 0));
  }
}
