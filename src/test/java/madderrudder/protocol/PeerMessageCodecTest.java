package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.NodeStatus;
import madderrudder.protocol.PeerMessage.ProgressUpdate;
import madderrudder.protocol.PeerMessage.StampEcho;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against changes of the encoding of messages between controllers, which would break the
 * exchange with controllers of another version during an upgrade, and against truncated or
 * corrupted messages that cause any exception but {@link MalformedMessageException}.
 */
class PeerMessageCodecTest {
  private static final List<PeerMessage> MESSAGES =
      List.of(
          new NodeStatus("bollard-1", 7, "", true, 1500, 250),
          new ProgressUpdate(9, List.of(new JobProgress("req-000001", 3, 4))));

  private static List<PeerMessage> messages() {
    return MESSAGES;
  }

  private static byte[] body(PeerMessage message) {
    ByteBuffer bytes = PeerMessageCodec.encode(message);
    assertEquals(bytes.remaining() - 4, bytes.getInt());
    byte[] body = new byte[bytes.remaining()];
    bytes.get(body);
    return body;
  }

  /** Messages with their encodings, which an earlier version of the controller has written. */
  private static List<Arguments> recordedEncodings() {
    return List.of(
        Arguments.of(
            new NodeStatus("n-1", 7, "n-0", true, 1500, 250),
            "0000001c0100036e2d31000000000000000700036e2d3001000005dc000000fa"),
        Arguments.of(
            new ProgressUpdate(9, List.of(new JobProgress("req-1", 3, 4))),
            "0000001c0200000000000000090000000100057265712d310000000300000004"),
        Arguments.of(
            new MembershipStatus("n-1", 2, 3, 4, 5, 6, 1, List.of(new StampEcho("n-2", 8, 9))),
            "0000004b0300036e2d31000000000000000200000000000000030000000000000004"
                + "0000000000000005000000000000000600000001"
                + "0000000100036e2d3200000000000000080000000000000009"),
        Arguments.of(
            new DelegatedRenewals("n-1", 2, 3, List.of(new LeaseRenewal("m-1", 250))),
            "000000230400036e2d3100000000000000020000000000000003" + "0000000100036d2d31000000fa"),
        Arguments.of(
            new ForwardedHeartbeat("n-1", 11, "{}"),
            "000000120500036e2d31000000000000000b00027b7d"),
        Arguments.of(new ForwardedResponse(11, "\u00e9"), "0000000d06000000000000000b0002c3a9"));
  }

  @ParameterizedTest
  @MethodSource("recordedEncodings")
  void keepsEncodingOfEarlierVersions(PeerMessage message, String hex)
      throws MalformedMessageException {
    ByteBuffer bytes = PeerMessageCodec.encode(message);
    byte[] encoded = new byte[bytes.remaining()];
    bytes.get(encoded);
    assertEquals(hex, HexFormat.of().formatHex(encoded));
    byte[] body = HexFormat.of().parseHex(hex.substring(8));
    assertEquals(message, PeerMessageCodec.decode(ByteBuffer.wrap(body)));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void messageRoundTrips(PeerMessage message) throws MalformedMessageException {
    assertEquals(message, PeerMessageCodec.decode(ByteBuffer.wrap(body(message))));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void refusesTruncatedMessage(PeerMessage message) {
    byte[] body = body(message);
    for (int length = 0; length < body.length; length++) {
      ByteBuffer truncated = ByteBuffer.wrap(body, 0, length);
      assertThrows(MalformedMessageException.class, () -> PeerMessageCodec.decode(truncated));
    }
  }

  @Test
  void readsOrRefusesMessageWithChangedByte() {
    SplittableRandom random = new SplittableRandom(3);
    int refused = 0;
    for (PeerMessage message : MESSAGES) {
      byte[] body = body(message);
      for (int i = 0; i < 2_000; i++) {
        byte[] corrupted = body.clone();
        corrupted[random.nextInt(corrupted.length)] = (byte) random.nextInt();
        try {
          PeerMessageCodec.decode(ByteBuffer.wrap(corrupted));
        } catch (MalformedMessageException e) {
          refused++;
        }
      }
    }
    assertTrue(refused > 500, "only " + refused + " corrupted messages were refused");
  }
}
