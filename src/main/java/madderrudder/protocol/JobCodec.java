package madderrudder.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Reads jobs that users submit, reads and writes the same fields in stored jobs, and encodes the
 * responses to users.
 */
public final class JobCodec {
  /** The largest number of tasks that a job may have. */
  public static final int MAX_TASKS = 100_000;

  private static final Pattern ID_PATTERN = Pattern.compile("req-[0-9]{1,18}");
  private static final int MAX_NAME_LENGTH = 200;

  private static final EnumNames<JobKind> KINDS =
      new EnumNames<>(JobKind.class)
          .with("array", JobKind.ARRAY)
          .with("gang", JobKind.GANG)
          .with("service", JobKind.SERVICE);

  private static final EnumNames<Priority> PRIORITIES =
      new EnumNames<>(Priority.class)
          .with("production", Priority.PRODUCTION)
          .with("urgent", Priority.HIGH)
          .with("standard", Priority.NORMAL)
          .with("idle", Priority.LOW);

  private static final EnumNames<JobState> STATES =
      new EnumNames<>(JobState.class)
          .with("pending", JobState.PENDING)
          .with("running", JobState.RUNNING)
          .with("done", JobState.DONE)
          .with("aborted", JobState.CANCELLED);

  private JobCodec() {}

  /** Whether the text is a well-formed job id: {@code req-} and 1 to 18 digits. */
  public static boolean isValidId(String id) {
    return ID_PATTERN.matcher(id).matches();
  }

  /**
   * Reads only the id, so that a repeated submission of a known job is recognized before its other
   * fields are validated.
   *
   * @throws MalformedMessageException if the id is missing or invalid
   */
  public static String readId(JsonFields in) throws MalformedMessageException {
    String id = in.text(JobFields.ID);
    if (!isValidId(id)) {
      throw MalformedMessageException.missingOrInvalid(JobFields.ID, id);
    }
    return id;
  }

  /**
   * Reads a job. Only the machine types, the zone and the deadline may be null or absent.
   *
   * @throws MalformedMessageException if a field is missing or invalid; it names the field
   */
  public static JobSpec read(JsonFields in) throws MalformedMessageException {
    // The order of the reads determines which of several invalid fields the exception names.
    JobKind kind = KINDS.read(in, JobFields.KIND);
    Priority priority = PRIORITIES.read(in, JobFields.PRIORITY);
    int tasks = readTaskCount(in);
    Resources resourcesPerTask = readResources(in);
    Set<String> types = readMachineTypes(in);
    long deadlineMicros = in.secondsAsMicros(JobFields.DEADLINE_SECONDS, 0);
    return new JobSpec(
        readId(in),
        readName(in, JobFields.JOB_CLASS),
        readName(in, JobFields.TEAM),
        kind,
        priority,
        tasks,
        resourcesPerTask,
        readName(in, JobFields.IMAGE),
        in.amount(JobFields.IMAGE_GB),
        types,
        in.has(JobFields.ZONE) ? readName(in, JobFields.ZONE) : null,
        in.flag(JobFields.ONE_ZONE),
        in.flag(JobFields.SPREAD),
        in.flag(JobFields.SPOT_ALLOWED),
        in.secondsAsMicros(JobFields.ESTIMATE_SECONDS),
        in.secondsAsMicros(JobFields.CHECKPOINT_INTERVAL_SECONDS),
        in.secondsAsMicros(JobFields.CHECKPOINT_SAVE_SECONDS),
        deadlineMicros);
  }

  private static int readTaskCount(JsonFields in) throws MalformedMessageException {
    long tasks = in.count(JobFields.TASK_COUNT);
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw MalformedMessageException.ofField(JobFields.TASK_COUNT, "is out of range", tasks);
    }
    return (int) tasks;
  }

  private static Resources readResources(JsonFields in) throws MalformedMessageException {
    Resources resourcesPerTask =
        Resources.required(
            in.decimal(JobFields.CPUS),
            in.decimal(JobFields.GPUS),
            in.decimal(JobFields.MEMORY_GB));
    if (resourcesPerTask.nanoCpus() == 0 && resourcesPerTask.nanoGpus() == 0) {
      throw MalformedMessageException.ofField(
          JobFields.CPUS, "is out of range", in.amount(JobFields.CPUS));
    }
    return resourcesPerTask;
  }

  /** Reads the allowed machine types; null if the job may use any type. */
  private static Set<String> readMachineTypes(JsonFields in) throws MalformedMessageException {
    if (!in.has(JobFields.MACHINE_TYPES)) {
      return null;
    }
    Set<String> types = new TreeSet<>(in.texts(JobFields.MACHINE_TYPES));
    if (types.isEmpty()) {
      throw MalformedMessageException.ofField(JobFields.MACHINE_TYPES, "is empty", null);
    }
    return types;
  }

  private static String readName(JsonFields in, String field) throws MalformedMessageException {
    String text = in.text(field);
    if (text.isEmpty() || text.length() > MAX_NAME_LENGTH) {
      throw MalformedMessageException.missingOrInvalid(field, text);
    }
    return text;
  }

  /** Writes the job's fields into the JSON object that is open in the generator. */
  public static void write(JsonGenerator out, JobSpec job) throws IOException {
    out.writeStringField(JobFields.ID, job.id());
    out.writeStringField(JobFields.JOB_CLASS, job.jobClass());
    out.writeStringField(JobFields.TEAM, job.team());
    out.writeStringField(JobFields.KIND, KINDS.nameOf(job.kind()));
    out.writeStringField(JobFields.PRIORITY, PRIORITIES.nameOf(job.priority()));
    out.writeNumberField(JobFields.TASK_COUNT, job.tasks());
    out.writeNumberField(JobFields.CPUS, job.resourcesPerTask().cpus());
    out.writeNumberField(JobFields.GPUS, job.resourcesPerTask().gpus());
    out.writeNumberField(JobFields.MEMORY_GB, job.resourcesPerTask().memoryGb());
    out.writeStringField(JobFields.IMAGE, job.image());
    out.writeNumberField(JobFields.IMAGE_GB, job.imageGb());
    writePlacement(out, job);
    out.writeNumberField(JobFields.ESTIMATE_SECONDS, job.estimateMicros() / 1e6);
    out.writeNumberField(
        JobFields.CHECKPOINT_INTERVAL_SECONDS, job.checkpointIntervalMicros() / 1e6);
    out.writeNumberField(JobFields.CHECKPOINT_SAVE_SECONDS, job.checkpointSaveMicros() / 1e6);
    if (job.deadlineMicros() > 0) {
      out.writeNumberField(JobFields.DEADLINE_SECONDS, job.deadlineMicros() / 1e6);
    }
  }

  private static void writePlacement(JsonGenerator out, JobSpec job) throws IOException {
    if (job.machineTypes() != null) {
      out.writeArrayFieldStart(JobFields.MACHINE_TYPES);
      for (String type : job.machineTypes()) {
        out.writeString(type);
      }
      out.writeEndArray();
    }
    if (job.zone() != null) {
      out.writeStringField(JobFields.ZONE, job.zone());
    }
    out.writeBooleanField(JobFields.ONE_ZONE, job.oneZone());
    out.writeBooleanField(JobFields.SPREAD, job.spread());
    out.writeBooleanField(JobFields.SPOT_ALLOWED, job.spotAllowed());
  }

  /** Encodes the response to a submission or a cancellation. */
  public static byte[] stateResponse(String id, JobState state) {
    return Json.object(
        out -> {
          out.writeStringField(JobFields.ID, id);
          out.writeStringField(JobFields.STATE, nameOf(state));
        });
  }

  /**
   * Encodes the response to a poll of a job's status.
   *
   * @param done the number of completed tasks
   * @param running the number of running tasks
   */
  public static byte[] statusResponse(String id, JobState state, int done, int running) {
    return Json.object(
        out -> {
          out.writeStringField(JobFields.ID, id);
          out.writeStringField(JobFields.STATE, nameOf(state));
          out.writeNumberField(JobFields.TASKS_DONE, done);
          out.writeNumberField(JobFields.TASKS_RUNNING, running);
        });
  }

  /** The state's name on the wire and in the store. */
  public static String nameOf(JobState state) {
    return STATES.nameOf(state);
  }
}
