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
 * Encodes and decodes the stored records of jobs: the unfinished job, its progress in chunks, and
 * its final state. Records outlive the process, so their layouts must not change.
 */
public final class JobRecords {
  /** The number of tasks in a chunk of progress: 4 KiB of bits, less than 6 KiB as base64. */
  public static final int TASKS_PER_CHUNK = 32_768;

  /**
   * A live job, that is, one that is not finished.
   *
   * @param spec the job as submitted
   * @param acceptedWallMicros the wall-clock time of its acceptance, in microseconds
   */
  public record Live(JobSpec spec, long acceptedWallMicros) {}

  /**
   * The final state of a job.
   *
   * @param state done or cancelled
   * @param done the number of its tasks that had completed
   */
  public record Finished(JobState state, int done) {}

  private JobRecords() {}

  /** Encodes an unfinished job and the wall-clock time of its acceptance, in microseconds. */
  public static byte[] encodeLive(JobSpec spec, long acceptedWallMicros) {
    return Json.object(
        out -> {
          JobCodec.write(out, spec);
          out.writeNumberField("accepted_us", acceptedWallMicros);
        });
  }

  /**
   * Decodes an unfinished job.
   *
   * @throws MalformedMessageException if the record is not valid
   */
  public static Live decodeLive(JsonFields in) throws MalformedMessageException {
    return new Live(JobCodec.read(in), in.count("accepted_us"));
  }

  /** Encodes the final state of a job and the number of its tasks that had completed. */
  public static byte[] encodeFinished(JobState state, int done) {
    return Json.object(
        out -> {
          out.writeStringField("state", JobCodec.nameOf(state));
          out.writeNumberField("done", done);
        });
  }

  /**
   * Decodes the final state of a job; any state but "done" counts as cancelled.
   *
   * @throws MalformedMessageException if a field is missing or has the wrong type
   */
  public static Finished decodeFinished(JsonFields in) throws MalformedMessageException {
    JobState state =
        in.text("state").equals(JobCodec.nameOf(JobState.DONE))
            ? JobState.DONE
            : JobState.CANCELLED;
    return new Finished(state, in.intCount("done"));
  }

  /**
   * Encodes a chunk of a job's progress.
   *
   * @param done the indexes of all completed tasks of the job, also those outside the chunk
   * @param chunk the number of the chunk, from 0
   * @param failing whether the job's tasks fail on every machine
   */
  public static byte[] encodeProgress(BitSet done, int chunk, boolean failing) {
    byte[] bits = done.get(chunk * TASKS_PER_CHUNK, (chunk + 1) * TASKS_PER_CHUNK).toByteArray();
    return Json.object(
        out -> {
          out.writeStringField("done", Base64.getEncoder().encodeToString(bits));
          if (failing) {
            out.writeBooleanField("faulty", true);
          }
        });
  }

  /**
   * Returns whether a chunk of progress marks the job as one whose tasks fail on every machine;
   * false if the field is absent.
   *
   * @throws MalformedMessageException if the field is not a boolean
   */
  public static boolean readFailing(JsonFields in) throws MalformedMessageException {
    return in.flag("faulty", false);
  }

  /**
   * Decodes a chunk of progress and adds the indexes of its completed tasks to the set.
   *
   * @param chunk the number of the chunk, from 0
   * @param done the indexes of completed tasks, to which those of the chunk are added
   * @throws MalformedMessageException if the chunk is not valid; the set is not changed
   */
  public static void decodeProgress(JsonFields in, int chunk, BitSet done)
      throws MalformedMessageException {
    byte[] bits;
    try {
      bits = Base64.getDecoder().decode(in.text("done"));
    } catch (IllegalArgumentException e) {
      throw new MalformedMessageException("progress is not base64");
    }
    BitSet.valueOf(bits).stream().forEach(bit -> done.set(chunk * TASKS_PER_CHUNK + bit));
  }
}
