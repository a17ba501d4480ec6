package madderrudder.protocol;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.NodeStatus;
import madderrudder.protocol.PeerMessage.ProgressUpdate;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * The byte form of messages between controllers: a length (4 bytes, without itself), a type number
 * (1 byte) and the message's fields, big-endian. Strings are a length (2 bytes) and UTF-8; lists
 * are a count (4 bytes) and their items.
 */
public final class PeerMessageCodec {
  /** The largest encoded message, with its length. */
  public static final int MAX_BYTES = 64 * 1024;

  /** The size of the length in front of each message. */
  static final int PREFIX_BYTES = 4;

  /** What a forwarded heartbeat or response takes beside its text, at most. */
  private static final int FORWARDING_BYTES = 1024;

  /** A list has no item that takes fewer bytes; so a bad count can't make it allocate much. */
  private static final int MIN_JOB_PROGRESS_BYTES = 10;

  private static final int MIN_STAMP_ECHO_BYTES = 18;
  private static final int MIN_LEASE_RENEWAL_BYTES = 6;

  private static final List<MessageType<?>> TYPES =
      List.of(
          new MessageType<>(
              1,
              NodeStatus.class,
              PeerMessageCodec::writeNodeStatus,
              PeerMessageCodec::readNodeStatus),
          new MessageType<>(
              2,
              ProgressUpdate.class,
              PeerMessageCodec::writeProgressUpdate,
              PeerMessageCodec::readProgressUpdate),
          new MessageType<>(
              3,
              MembershipStatus.class,
              PeerMessageCodec::writeMembershipStatus,
              PeerMessageCodec::readMembershipStatus),
          new MessageType<>(
              4,
              DelegatedRenewals.class,
              PeerMessageCodec::writeDelegatedRenewals,
              PeerMessageCodec::readDelegatedRenewals),
          new MessageType<>(
              5,
              ForwardedHeartbeat.class,
              PeerMessageCodec::writeForwardedHeartbeat,
              PeerMessageCodec::readForwardedHeartbeat),
          new MessageType<>(
              6,
              ForwardedResponse.class,
              PeerMessageCodec::writeForwardedResponse,
              PeerMessageCodec::readForwardedResponse));

  private static final Map<Class<?>, MessageType<?>> BY_CLASS =
      TYPES.stream().collect(Collectors.toMap(MessageType::messages, Function.identity()));

  private static final Map<Byte, MessageType<?>> BY_NUMBER =
      TYPES.stream().collect(Collectors.toMap(MessageType::number, Function.identity()));

  /** Reads the fields of one message. */
  private interface Reader<M> {
    M read(ByteBuffer in) throws MalformedMessageException;
  }

  /** One type of message: its number on the wire, and how its fields are written and read. */
  private record MessageType<M extends PeerMessage>(
      byte number, Class<M> messages, BiConsumer<ByteBuffer, M> writer, Reader<M> reader) {
    MessageType(int number, Class<M> messages, BiConsumer<ByteBuffer, M> writer, Reader<M> reader) {
      this((byte) number, messages, writer, reader);
    }

    void write(ByteBuffer out, PeerMessage message) {
      writer.accept(out.put(number), messages.cast(message));
    }
  }

  private PeerMessageCodec() {}

  /** Whether a heartbeat, or the response to one, of so many bytes can be forwarded. */
  public static boolean canForward(int bytes) {
    return bytes <= MAX_BYTES - FORWARDING_BYTES;
  }

  /** The message with its length in front, ready to be sent. */
  public static ByteBuffer encode(PeerMessage message) {
    ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
    out.putInt(0);
    BY_CLASS.get(message.getClass()).write(out, message);
    out.putInt(0, out.position() - PREFIX_BYTES);
    // A copy of the size needed: many messages may wait to be sent.
    return ByteBuffer.wrap(Arrays.copyOf(out.array(), out.position()));
  }

  /**
   * Reads the message that fills the buffer, without the length.
   *
   * @throws MalformedMessageException if the bytes are no message, or more than one
   */
  public static PeerMessage decode(ByteBuffer in) throws MalformedMessageException {
    try {
      byte number = in.get();
      MessageType<?> type = BY_NUMBER.get(number);
      if (type == null) {
        throw new MalformedMessageException("unknown type of peer message: " + number);
      }
      PeerMessage message = type.reader().read(in);
      if (in.hasRemaining()) {
        throw new MalformedMessageException("peer message too long");
      }
      return message;
    } catch (BufferUnderflowException e) {
      throw new MalformedMessageException("peer message too short");
    }
  }

  private static void writeNodeStatus(ByteBuffer out, NodeStatus status) {
    writeText(out, status.member());
    out.putLong(status.term());
    writeText(out, status.leader());
    out.put((byte) (status.storeAnswers() ? 1 : 0));
    out.putInt(status.spareMilliWrites());
    out.putInt(status.wantedMilliWrites());
  }

  private static NodeStatus readNodeStatus(ByteBuffer in) {
    return new NodeStatus(
        readText(in), in.getLong(), readText(in), in.get() != 0, in.getInt(), in.getInt());
  }

  private static void writeProgressUpdate(ByteBuffer out, ProgressUpdate update) {
    out.putLong(update.term());
    out.putInt(update.jobs().size());
    for (JobProgress job : update.jobs()) {
      writeText(out, job.job());
      out.putInt(job.done());
      out.putInt(job.running());
    }
  }

  private static ProgressUpdate readProgressUpdate(ByteBuffer in) throws MalformedMessageException {
    return new ProgressUpdate(
        in.getLong(),
        readList(
            in,
            MIN_JOB_PROGRESS_BYTES,
            () -> new JobProgress(readText(in), in.getInt(), in.getInt())));
  }

  private static void writeMembershipStatus(ByteBuffer out, MembershipStatus status) {
    writeText(out, status.member());
    out.putLong(status.incarnation());
    out.putLong(status.stampMicros());
    out.putLong(status.ageMicros());
    out.putLong(status.term());
    out.putLong(status.grantMicros());
    out.putInt(status.answeredParts());
    out.putInt(status.echoes().size());
    for (StampEcho echo : status.echoes()) {
      writeText(out, echo.member());
      out.putLong(echo.incarnation());
      out.putLong(echo.stampMicros());
    }
  }

  private static MembershipStatus readMembershipStatus(ByteBuffer in)
      throws MalformedMessageException {
    return new MembershipStatus(
        readText(in),
        in.getLong(),
        in.getLong(),
        in.getLong(),
        in.getLong(),
        in.getLong(),
        in.getInt(),
        readList(
            in,
            MIN_STAMP_ECHO_BYTES,
            () -> new StampEcho(readText(in), in.getLong(), in.getLong())));
  }

  private static void writeDelegatedRenewals(ByteBuffer out, DelegatedRenewals renewals) {
    writeText(out, renewals.member());
    out.putLong(renewals.incarnation());
    out.putLong(renewals.stampMicros());
    out.putInt(renewals.answers().size());
    for (LeaseRenewal renewal : renewals.answers()) {
      writeText(out, renewal.machine());
      out.putInt(renewal.agoMillis());
    }
  }

  private static DelegatedRenewals readDelegatedRenewals(ByteBuffer in)
      throws MalformedMessageException {
    return new DelegatedRenewals(
        readText(in),
        in.getLong(),
        in.getLong(),
        readList(in, MIN_LEASE_RENEWAL_BYTES, () -> new LeaseRenewal(readText(in), in.getInt())));
  }

  private static void writeForwardedHeartbeat(ByteBuffer out, ForwardedHeartbeat heartbeat) {
    writeText(out, heartbeat.member());
    out.putLong(heartbeat.number());
    writeText(out, heartbeat.report());
  }

  private static ForwardedHeartbeat readForwardedHeartbeat(ByteBuffer in) {
    return new ForwardedHeartbeat(readText(in), in.getLong(), readText(in));
  }

  private static void writeForwardedResponse(ByteBuffer out, ForwardedResponse response) {
    out.putLong(response.number());
    writeText(out, response.answer());
  }

  private static ForwardedResponse readForwardedResponse(ByteBuffer in) {
    return new ForwardedResponse(in.getLong(), readText(in));
  }

  private static <T> List<T> readList(ByteBuffer in, int minItemBytes, Supplier<T> readItem)
      throws MalformedMessageException {
    int count = in.getInt();
    if (count < 0 || count > in.remaining() / minItemBytes) {
      throw new MalformedMessageException("peer message with a bad count: " + count);
    }
    List<T> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      items.add(readItem.get());
    }
    return items;
  }

  private static void writeText(ByteBuffer out, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.putShort((short) bytes.length).put(bytes);
  }

  private static String readText(ByteBuffer in) {
    byte[] bytes = new byte[in.getShort() & 0xffff];
    in.get(bytes);
    return new String(bytes, StandardCharsets.UTF_8);
  }
}
