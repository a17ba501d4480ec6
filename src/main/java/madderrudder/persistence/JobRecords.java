package madderrudder.persistence;

import java.util.Base64;
import java.util.BitSet;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * Encodes and decodes the stored records of jobs: the job itself, its progress in chunks, and how
 * it ended. The layouts are stored and must not change.
 */
public final class JobRecords {
  /** The tasks in a chunk of progress: 4 KiB of bits, less than 6 KiB as text. */
  public static final int CHUNK = 32_768;

  /**
   * A job that is not over.
   *
   * @param spec the job as submitted
   * @param acceptedWallMicros the time of day of its acceptance, in microseconds
   */
  public record Live(JobSpec spec, long acceptedWallMicros) {}

  /**
   * How a job ended.
   *
   * @param state done or cancelled
   * @param done how many of its tasks had completed
   */
  public record Finished(JobState state, int done) {}

  private JobRecords() {}

  /** Encodes a job that is not over; the time is a time of day in microseconds. */
  public static byte[] live(JobSpec spec, long acceptedWallMicros) {
    return Json.object(
        out -> {
          JobCodec.write(out, spec);
          out.writeNumberField("accepted_us", acceptedWallMicros);
        });
  }

  /**
   * Decodes a job that is not over.
   *
   * @throws MalformedMessageException if the record is not valid
   */
  public static Live readLive(JsonFields in) throws MalformedMessageException {
    return new Live(JobCodec.read(in), in.count("accepted_us"));
  }

  /** Encodes how a job ended. */
  public static byte[] finished(JobState state, int done) {
    return Json.object(
        out -> {
          out.writeStringField("state", JobCodec.nameOf(state));
          out.writeNumberField("done", done);
        });
  }

  /**
   * Decodes how a job ended; any state but "done" counts as cancelled.
   *
   * @throws MalformedMessageException if a field is missing or has the wrong type
   */
  public static Finished readFinished(JsonFields in) throws MalformedMessageException {
    JobState state =
        in.text("state").equals(JobCodec.nameOf(JobState.DONE))
            ? JobState.DONE
            : JobState.CANCELLED;
    return new Finished(state, in.smallCount("done"));
  }

  /**
   * Encodes a chunk of a job's progress.
   *
   * @param done the indexes of all the job's completed tasks
   * @param chunk the number of the chunk, from 0
   * @param failing whether the job's tasks fail on whatever machine they run
   */
  public static byte[] progress(BitSet done, int chunk, boolean failing) {
    byte[] bits = done.get(chunk * CHUNK, (chunk + 1) * CHUNK).toByteArray();
    return Json.object(
        out -> {
          out.writeStringField("done", Base64.getEncoder().encodeToString(bits));
          if (failing) {
            out.writeBooleanField("faulty", true);
          }
        });
  }

  /**
   * Whether a chunk of progress says that the job's tasks fail on whatever machine they run.
   *
   * @throws MalformedMessageException if the field is not a boolean
   */
  public static boolean readFailing(JsonFields in) throws MalformedMessageException {
    return in.flag("faulty", false);
  }

  /**
   * Decodes a chunk of progress and adds its completed tasks to the set.
   *
   * @throws MalformedMessageException if the chunk is not valid; the set is not changed
   */
  public static void readProgress(JsonFields in, int chunk, BitSet done)
      throws MalformedMessageException {
    byte[] bits;
    try {
      bits = Base64.getDecoder().decode(in.text("done"));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("progress is not base64");
    }
    BitSet.valueOf(bits).stream().forEach(bit -> done.set(chunk * CHUNK + bit));
  }
}
