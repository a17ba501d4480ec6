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

/** Messages between controllers on real sockets. */
@Timeout(60)
class PeerTransportTest {
  private static final int MAX_BYTES = 64 * 1024;

  private final EventLoop loop = new EventLoop();
  private final BlockingQueue<Integer> received = new LinkedBlockingQueue<>();
  private AsynchronousChannelGroup group;
  private InetSocketAddress receiving;
  private PeerTransport sender;

  @BeforeEach
  void connect() throws IOException {
    group = AsynchronousChannelGroup.withThreadPool(loop);
    receiving = freeAddress();
    PeerTransport receiver =
        new PeerTransport(
            loop,
            group,
            receiving,
            Map.of(),
            MAX_BYTES,
            message -> received.add(message.remaining()));
    receiver.start();
    sender =
        new PeerTransport(
            loop,
            group,
            freeAddress(),
            Map.of("receiver", "127.0.0.1:" + receiving.getPort()),
            MAX_BYTES,
            message -> {});
    Thread thread = new Thread(loop::run, "event loop");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() throws IOException {
    loop.shutdown();
    group.shutdownNow();
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private static ByteBuffer message(int length) {
    return ByteBuffer.allocate(Integer.BYTES + length).putInt(0, length);
  }

  private List<Integer> lengthsReceived(int count) throws InterruptedException {
    List<Integer> lengths = new ArrayList<>();
    while (lengths.size() < count) {
      Integer length = received.poll(20, TimeUnit.SECONDS);
      if (length == null) {
        break;
      }
      lengths.add(length);
    }
    return lengths;
  }

  @Test
  void messagesOfAnySizeArriveWholeAndInOrder() throws InterruptedException {
    List<Integer> lengths = List.of(1, 1_020, 1_021, 5, MAX_BYTES, 2, 30_000, 3);
    loop.execute(() -> lengths.forEach(length -> sender.send("receiver", message(length))));
    assertEquals(lengths, lengthsReceived(lengths.size()));
  }

  @Test
  void aBroadcastReachesThePeerAndAMessageToAStrangerNobody() throws InterruptedException {
    loop.execute(
        () -> {
          sender.send("stranger", message(1));
          sender.broadcast(message(2));
        });
    assertEquals(List.of(2), lengthsReceived(1));
  }

  @Test
  void aMessageOfImpossibleLengthClosesItsConnection() throws IOException {
    try (Socket socket = new Socket(receiving.getAddress(), receiving.getPort())) {
      socket.getOutputStream().write(message(MAX_BYTES + 1).array(), 0, Integer.BYTES);
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
