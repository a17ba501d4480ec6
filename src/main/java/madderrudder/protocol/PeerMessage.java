package madderrudder.protocol;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/**
 * What controllers tell one another. A frame is a length (4 bytes, without itself), a kind (1 byte)
 * and its fields, big-endian; texts are a length (2 bytes) and UTF-8.
 */
public sealed interface PeerMessage {
  int MAX_BYTES = 64 * 1024;
  int PREFIX_BYTES = 4;

  /**
   * A sign of life: the highest term heard of, who leads it, whether the store answers here; in
   * thousandths, how many writes a second the sender leaves over for users, if it leads, and how
   * many its own users want.
   */
  record NodeStatus(
      String member,
      long term,
      String leader,
      boolean storeAnswers,
      int spareMilliWrites,
      int wantedMilliWrites)
      implements PeerMessage {}

  /** How far jobs have come, for display by nodes that don't lead. */
  record ProgressUpdate(long term, List<JobProgress> jobs) implements PeerMessage {}

  /** How far one job has come. */
  record JobProgress(String job, int done, int running) {}

  /**
   * How the sender, one process of many under its name, stands with its peers. {@code stampMicros}
   * is its own steady clock, which peers send back; {@code ageMicros}, how long it has lived;
   * {@code grantMicros}, if it leads in the term, for how long from then on a peer may answer
   * workers in its stead; {@code answeredParts}, how many {@link DelegatedRenewals} of the same
   * stamp came before.
   */
  record MembershipStatus(
      String member,
      long incarnation,
      long stampMicros,
      long ageMicros,
      long term,
      long grantMicros,
      int answeredParts,
      List<StampEcho> echoes)
      implements PeerMessage {}

  /** The stamp last heard of a process of a peer. */
  record StampEcho(String member, long incarnation, long stampMicros) {}

  /** Machines that the sender has answered in a leader's stead lately. */
  record DelegatedRenewals(
      String member, long incarnation, long stampMicros, List<LeaseRenewal> answers)
      implements PeerMessage {}

  /** A machine was answered so long before the frame was sent. */
  record LeaseRenewal(String machine, int agoMillis) {}

  /** A worker's report, as it came, from a controller to the leader that the worker can't reach. */
  record ForwardedHeartbeat(String member, long number, String report) implements PeerMessage {}

  /** The leader's answer to a relayed report, as the worker shall get it. */
  record ForwardedResponse(long number, String answer) implements PeerMessage {}

  private static byte kind(PeerMessage frame) {
    return (byte)
        (frame instanceof NodeStatus
            ? 1
            : frame instanceof ProgressUpdate
                ? 2
                : frame instanceof MembershipStatus
                    ? 3
                    : frame instanceof DelegatedRenewals
                        ? 4
                        : frame instanceof ForwardedHeartbeat ? 5 : 6);
  }

  /** Whether a report or an answer to one, of so many bytes, can be carried. */
  static boolean carries(int bytes) {
    return bytes <= MAX_BYTES - 1024;
  }

  /** The frame, ready to be sent. */
  static ByteBuffer encode(PeerMessage frame) {
    ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
    out.putInt(0).put(kind(frame));
    if (frame instanceof NodeStatus pulse) {
      putText(out, pulse.member());
      out.putLong(pulse.term());
      putText(out, pulse.leader());
      out.put((byte) (pulse.storeAnswers() ? 1 : 0))
          .putInt(pulse.spareMilliWrites())
          .putInt(pulse.wantedMilliWrites());
    } else if (frame instanceof ProgressUpdate progress) {
      out.putLong(progress.term()).putInt(progress.jobs().size());
      for (JobProgress job : progress.jobs()) {
        putText(out, job.job());
        out.putInt(job.done()).putInt(job.running());
      }
    } else if (frame instanceof MembershipStatus standing) {
      putText(out, standing.member());
      out.putLong(standing.incarnation())
          .putLong(standing.stampMicros())
          .putLong(standing.ageMicros())
          .putLong(standing.term())
          .putLong(standing.grantMicros())
          .putInt(standing.answeredParts())
          .putInt(standing.echoes().size());
      for (StampEcho echo : standing.echoes()) {
        putText(out, echo.member());
        out.putLong(echo.incarnation()).putLong(echo.stampMicros());
      }
    } else if (frame instanceof DelegatedRenewals answered) {
      putText(out, answered.member());
      out.putLong(answered.incarnation())
          .putLong(answered.stampMicros())
          .putInt(answered.answers().size());
      for (LeaseRenewal answer : answered.answers()) {
        putText(out, answer.machine());
        out.putInt(answer.agoMillis());
      }
    } else if (frame instanceof ForwardedHeartbeat relayed) {
      putText(out, relayed.member());
      out.putLong(relayed.number());
      putText(out, relayed.report());
    } else if (frame instanceof ForwardedResponse answer) {
      out.putLong(answer.number());
      putText(out, answer.answer());
    }
    out.putInt(0, out.position() - PREFIX_BYTES);
    // Frames may have to wait; none holds on to more than it says.
    return ByteBuffer.wrap(Arrays.copyOf(out.array(), out.position()));
  }

  /** Reads the frame that fills the buffer, which no longer holds the length. */
  static PeerMessage decode(ByteBuffer in) throws MalformedMessageException {
    try {
      PeerMessage frame =
          switch (in.get()) {
            case 1 ->
                new NodeStatus(
                    text(in), in.getLong(), text(in), in.get() != 0, in.getInt(), in.getInt());
            case 2 -> progress(in);
            case 3 ->
                new MembershipStatus(
                    text(in),
                    in.getLong(),
                    in.getLong(),
                    in.getLong(),
                    in.getLong(),
                    in.getLong(),
                    in.getInt(),
                    list(in, 18, () -> new StampEcho(text(in), in.getLong(), in.getLong())));
            case 4 ->
                new DelegatedRenewals(
                    text(in),
                    in.getLong(),
                    in.getLong(),
                    list(in, 6, () -> new LeaseRenewal(text(in), in.getInt())));
            case 5 -> new ForwardedHeartbeat(text(in), in.getLong(), text(in));
            case 6 -> new ForwardedResponse(in.getLong(), text(in));
            default -> throw new MalformedMessageException("unknown mesh frame");
          };
      if (in.hasRemaining()) {
        throw new MalformedMessageException("mesh frame too long");
      }
      return frame;
    } catch (BufferUnderflowException e) {
      throw new MalformedMessageException("mesh frame too short");
    }
  }

  private static ProgressUpdate progress(ByteBuffer in) throws MalformedMessageException {
    return new ProgressUpdate(
        in.getLong(), list(in, 10, () -> new JobProgress(text(in), in.getInt(), in.getInt())));
  }

  /** A count and so many items, each of so many bytes at the least. */
  private static <T> List<T> list(ByteBuffer in, int leastBytes, Supplier<T> item)
      throws MalformedMessageException {
    int count = in.getInt();
    if (count < 0 || count > in.remaining() / leastBytes) {
      throw new MalformedMessageException("mesh frame with a bad count");
    }
    List<T> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      items.add(item.get());
    }
    return items;
  }

  private static void putText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.putShort((short) bytes.length).put(bytes);
  }

  private static String text(ByteBuffer in) {
    byte[] bytes = new byte[in.getShort() & 0xffff];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
