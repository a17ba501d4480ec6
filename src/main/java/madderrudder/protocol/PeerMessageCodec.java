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
 * Encodes and decodes messages between controllers. An encoded message consists of the length of
 * what follows (4 bytes), a type number (1 byte) and the message's fields, all big-endian. A string
 * is encoded as its length in bytes (2 bytes) and its UTF-8 bytes, a list as its item count (4
 * bytes) and its items.
 */
public final class PeerMessageCodec {
  /** The largest size of an encoded message in bytes, including the length prefix. */
  public static final int MAX_BYTES = 64 * 1024;

  /** The size of the length prefix of each message. */
  static final int LENGTH_PREFIX_BYTES = 4;

  /** The largest number of bytes that forwarding adds to the body of a heartbeat or response. */
  private static final int MAX_FORWARDING_OVERHEAD_BYTES = 1024;

  /**
   * The smallest encoded size of one list item. The decoder checks a list's count against the
   * remaining bytes, so that a corrupt count can't cause a large allocation.
   */
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

  private static final Map<Class<?>, MessageType<?>> TYPES_BY_CLASS =
      TYPES.stream().collect(Collectors.toMap(MessageType::messageClass, Function.identity()));

  private static final Map<Byte, MessageType<?>> TYPES_BY_NUMBER =
      TYPES.stream().collect(Collectors.toMap(MessageType::number, Function.identity()));

  /** Decodes the fields of one message. */
  private interface Reader<M> {
    M read(ByteBuffer in) throws MalformedMessageException;
  }

  /** A type of message: its number on the wire and the functions that write and read its fields. */
  private record MessageType<M extends PeerMessage>(
      byte number, Class<M> messageClass, BiConsumer<ByteBuffer, M> writer, Reader<M> reader) {
    MessageType(
        int number, Class<M> messageClass, BiConsumer<ByteBuffer, M> writer, Reader<M> reader) {
      this((byte) number, messageClass, writer, reader);
    }

    void write(ByteBuffer out, PeerMessage message) {
      writer.accept(out.put(number), messageClass.cast(message));
    }
  }

  private PeerMessageCodec() {}

  /** Whether the body of a heartbeat, or of the response to one, is small enough to forward. */
  public static boolean canForward(int bodyBytes) {
    return bodyBytes <= MAX_BYTES - MAX_FORWARDING_OVERHEAD_BYTES;
  }

  /** Encodes a message with its length prefix; the result is positioned at its start. */
  public static ByteBuffer encode(PeerMessage message) {
    ByteBuffer out = ByteBuffer.allocate(MAX_BYTES);
    out.putInt(0);
    TYPES_BY_CLASS.get(message.getClass()).write(out, message);
    out.putInt(0, out.position() - LENGTH_PREFIX_BYTES);
    // Copies into an array of the exact size, because many messages may be queued for sending.
    return ByteBuffer.wrap(Arrays.copyOf(out.array(), out.position()));
  }

  /**
   * Decodes the one message that the buffer contains, without its length prefix.
   *
   * @throws MalformedMessageException if the buffer does not contain exactly one valid message
   */
  public static PeerMessage decode(ByteBuffer in) throws MalformedMessageException {
    try {
      byte number = in.get();
      MessageType<?> type = TYPES_BY_NUMBER.get(number);
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
    out.put((byte) (status.storeReachable() ? 1 : 0));
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
    out.putLong(status.uptimeMicros());
    out.putLong(status.term());
    out.putLong(status.grantMicros());
    out.putInt(status.renewalMessageCount());
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
    out.putInt(renewals.renewals().size());
    for (LeaseRenewal renewal : renewals.renewals()) {
      writeText(out, renewal.machine());
      out.putInt(renewal.ageMillis());
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
    out.putLong(heartbeat.requestId());
    writeText(out, heartbeat.heartbeatBody());
  }

  private static ForwardedHeartbeat readForwardedHeartbeat(ByteBuffer in) {
    return new ForwardedHeartbeat(readText(in), in.getLong(), readText(in));
  }

  private static void writeForwardedResponse(ByteBuffer out, ForwardedResponse response) {
    out.putLong(response.requestId());
    writeText(out, response.responseBody());
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
