package madderrudder.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Sends messages between two transports over loopback sockets. Guards against messages that are
 * split, merged or reordered when TCP delivers them in pieces, and against a peer that announces a
 * message above the size limit.
 */
@Timeout(60)
class PeerTransportTest {
  private static final int MAX_MESSAGE_BYTES = 64 * 1024;

  private final EventLoop loop = new EventLoop();
  private final BlockingQueue<Integer> receivedLengths = new LinkedBlockingQueue<>();
  private AsynchronousChannelGroup group;
  private InetSocketAddress receiverAddress;
  private PeerTransport sender;

  @BeforeEach
  void startTransports() throws IOException {
    group = AsynchronousChannelGroup.withThreadPool(loop);
    receiverAddress = unusedAddress();
    PeerTransport receiver =
        new PeerTransport(
            loop,
            group,
            receiverAddress,
            Map.of(),
            MAX_MESSAGE_BYTES,
            message -> receivedLengths.add(message.remaining()));
    receiver.start();
    sender =
        new PeerTransport(
            loop,
            group,
            unusedAddress(),
            Map.of("receiver", "127.0.0.1:" + receiverAddress.getPort()),
            MAX_MESSAGE_BYTES,
            message -> {});
    Thread thread = new Thread(loop::run, "event loop");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stopEventLoop() throws IOException {
    loop.shutdown();
    group.shutdownNow();
  }

  private static InetSocketAddress unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private static ByteBuffer message(int length) {
    return ByteBuffer.allocate(Integer.BYTES + length).putInt(0, length);
  }

  private List<Integer> awaitReceivedLengths(int count) throws InterruptedException {
    List<Integer> lengths = new ArrayList<>();
    while (lengths.size() < count) {
      Integer length = receivedLengths.poll(20, TimeUnit.SECONDS);
      if (length == null) {
        break;
      }
      lengths.add(length);
    }
    return lengths;
  }

  @Test
  void messagesOfAnySizeArriveWholeAndInOrder() throws InterruptedException {
    List<Integer> lengths = List.of(1, 1_020, 1_021, 5, MAX_MESSAGE_BYTES, 2, 30_000, 3);
    loop.execute(() -> lengths.forEach(length -> sender.send("receiver", message(length))));
    assertEquals(lengths, awaitReceivedLengths(lengths.size()));
  }

  @Test
  void broadcastReachesPeerAndMessageToUnknownMemberIsDropped() throws InterruptedException {
    loop.execute(
        () -> {
          sender.send("stranger", message(1));
          sender.broadcast(message(2));
        });
    assertEquals(List.of(2), awaitReceivedLengths(1));
  }

  @Test
  void messageAboveMaximumLengthClosesConnection() throws IOException {
    try (Socket socket = new Socket(receiverAddress.getAddress(), receiverAddress.getPort())) {
      socket.getOutputStream().write(message(MAX_MESSAGE_BYTES + 1).array(), 0, Integer.BYTES);
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
