package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/** Jobs as users write them and as they are stored; also what users read back. */
public final class JobCodec {
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID = Pattern.compile("req-[0-9]{1,18}");
  private static final int MAX_NAME = 200;

  private JobCodec() {}

  public static boolean validId(String id) {
    return ID.matcher(id).matches();
  }

  /** The id alone, so that a known job can be recognised before anything else is judged. */
  public static String readId(Fields in) throws MalformedMessageException {
    String id = in.text("id");
    if (!validId(id)) {
      throw new MalformedMessageException("field id is missing or invalid");
    }
    return id;
  }

  /**
   * A job; fails with the name of the field that is missing or invalid. Only {@code builds}, {@code
   * berth} and {@code tide_s} may be null, and so may be left out.
   */
  public static JobSpec read(Fields in) throws MalformedMessageException {
    JobKind kind =
        switch (in.text("cut")) {
          case "array" -> JobKind.ARRAY;
          case "gang" -> JobKind.GANG;
          case "service" -> JobKind.SERVICE;
          default -> throw new MalformedMessageException("field cut is invalid");
        };
    Priority priority =
        switch (in.text("rank")) {
          case "production" -> Priority.PRODUCTION;
          case "urgent" -> Priority.HIGH;
          case "standard" -> Priority.NORMAL;
          case "idle" -> Priority.LOW;
          default -> throw new MalformedMessageException("field rank is invalid");
        };
    long tasks = in.count("strokes");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedMessageException("field strokes is out of range");
    }
    Resources perTask =
        Resources.of(in.amount("cores"), in.amount("accelerators"), in.amount("mem_gb"));
    if (perTask.milliCpus() == 0 && perTask.milliGpus() == 0) {
      throw new MalformedMessageException("field cores is out of range");
    }
    Set<String> types = null;
    if (in.has("builds")) {
      types = new TreeSet<>(in.texts("builds"));
      if (types.isEmpty()) {
        throw new MalformedMessageException("field builds is empty");
      }
    }
    long deadlineMicros = in.secondsAsMicros("tide_s", 0);
    return new JobSpec(
        readId(in),
        name(in, "rig"),
        name(in, "crew"),
        kind,
        priority,
        (int) tasks,
        perTask,
        name(in, "hull"),
        in.amount("image_gb"),
        types,
        in.has("berth") ? name(in, "berth") : null,
        in.flag("one_zone"),
        in.flag("apart"),
        in.flag("driftwood"),
        in.secondsAsMicros("reckon_s"),
        in.secondsAsMicros("mark_s"),
        in.secondsAsMicros("stow_s"),
        deadlineMicros);
  }

  private static String name(Fields in, String field) throws MalformedMessageException {
    String text = in.text(field);
    if (text.isEmpty() || text.length() > MAX_NAME) {
      throw new MalformedMessageException("field " + field + " is missing or invalid");
    }
    return text;
  }

  /** Writes the job's fields, in the users' own words, into an open object. */
  public static void write(JsonGenerator out, JobSpec job) throws IOException {
    out.writeStringField("id", job.id());
    out.writeStringField("rig", job.jobClass());
    out.writeStringField("crew", job.team());
    out.writeStringField(
        "cut",
        switch (job.kind()) {
          case ARRAY -> "array";
          case GANG -> "gang";
          case SERVICE -> "service";
        });
    out.writeStringField(
        "rank",
        switch (job.priority()) {
          case PRODUCTION -> "production";
          case HIGH -> "urgent";
          case NORMAL -> "standard";
          case LOW -> "idle";
        });
    out.writeNumberField("strokes", job.tasks());
    out.writeNumberField("cores", job.perTask().milliCpus() / 1000.0);
    out.writeNumberField("accelerators", job.perTask().milliGpus() / 1000.0);
    out.writeNumberField("mem_gb", job.perTask().memoryMb() / 1000.0);
    out.writeStringField("hull", job.image());
    out.writeNumberField("image_gb", job.imageGb());
    if (job.types() != null) {
      out.writeArrayFieldStart("builds");
      for (String type : job.types()) {
        out.writeString(type);
      }
      out.writeEndArray();
    }
    if (job.zone() != null) {
      out.writeStringField("berth", job.zone());
    }
    out.writeBooleanField("one_zone", job.oneZone());
    out.writeBooleanField("apart", job.spread());
    out.writeBooleanField("driftwood", job.spotAllowed());
    out.writeNumberField("reckon_s", job.estimateMicros() / 1e6);
    out.writeNumberField("mark_s", job.checkpointMicros() / 1e6);
    out.writeNumberField("stow_s", job.saveMicros() / 1e6);
    if (job.deadlineMicros() > 0) {
      out.writeNumberField("tide_s", job.deadlineMicros() / 1e6);
    }
  }

  /** The answer to a submission or a withdrawal. */
  public static byte[] state(String id, JobState state) {
    return Json.object(
        out -> {
          out.writeStringField("id", id);
          out.writeStringField("trim", word(state));
        });
  }

  /** The answer to a poll. */
  public static byte[] status(String id, JobState state, int done, int running) {
    return Json.object(
        out -> {
          out.writeStringField("id", id);
          out.writeStringField("trim", word(state));
          out.writeNumberField("done", done);
          out.writeNumberField("running", running);
        });
  }

  public static String word(JobState state) {
    return switch (state) {
      case PENDING -> "pending";
      case RUNNING -> "running";
      case DONE -> "done";
      case CANCELLED -> "aborted";
    };
  }
}
