package madderrudder.persistence;

import java.util.Base64;
import java.util.BitSet;
import madderrudder.protocol.Fields;
import madderrudder.protocol.JobCodec;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;

/** The values kept for jobs: the job itself, its progress in chunks, and how it ended. */
public final class JobRecords {
  /** Tasks a chunk: 4 KiB of bits, under 6 KiB as text. */
  public static final int CHUNK = 32_768;

  /** A job that is not over yet, and the time of day of its acceptance. */
  public record Live(JobSpec spec, long acceptedWallMicros) {}

  /** How a job ended. */
  public record Finished(JobState state, int done) {}

  private JobRecords() {}

  public static byte[] live(JobSpec spec, long acceptedWallMicros) {
    return Json.object(
        out -> {
          JobCodec.write(out, spec);
          out.writeNumberField("accepted_us", acceptedWallMicros);
        });
  }

  public static Live readLive(Fields in) throws MalformedMessageException {
    return new Live(JobCodec.read(in), in.count("accepted_us"));
  }

  public static byte[] finished(JobState state, int done) {
    return Json.object(
        out -> {
          out.writeStringField("state", JobCodec.nameOf(state));
          out.writeNumberField("done", done);
        });
  }

  public static Finished readFinished(Fields in) throws MalformedMessageException {
    JobState state =
        in.text("state").equals(JobCodec.nameOf(JobState.DONE))
            ? JobState.DONE
            : JobState.CANCELLED;
    return new Finished(state, in.smallCount("done"));
  }

  /** {@code faulty}: its tasks fail wherever they run. */
  public static byte[] progress(BitSet done, int chunk, boolean faulty) {
    byte[] bits = done.get(chunk * CHUNK, (chunk + 1) * CHUNK).toByteArray();
    return Json.object(
        out -> {
          out.writeStringField("done", Base64.getEncoder().encodeToString(bits));
          if (faulty) {
            out.writeBooleanField("faulty", true);
          }
        });
  }

  /** Whether the job's tasks were found to fail wherever they run. */
  public static boolean readFaulty(Fields in) throws MalformedMessageException {
    return in.flag("faulty", false);
  }

  /** Adds a stored chunk to the set. */
  public static void readProgress(Fields in, int chunk, BitSet done)
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
