package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Length-prefixed messages between controllers, each over a connection that its sender opens.
 * Safety does not rely on them: a message that can't be sent is dropped. Confined to the event loop
 * thread once it is started.
 */
public final class PeerTransport implements PeerMessenger {
  private static final int BACKLOG = 16;
  private static final long ACCEPT_PAUSE_MICROS = 200_000;
  private static final int MAX_INCOMING = 16;

  private final SocketListener listener;
  private final int maxMessageBytes;
  private final Consumer<ByteBuffer> receiver;
  private final Map<String, OutgoingPeerConnection> outgoing = new LinkedHashMap<>();
  private final Deque<IncomingPeerConnection> incoming = new ArrayDeque<>();

  /**
   * A transport that listens, and accepts nothing before it is started.
   *
   * @param listen the address that peers connect to
   * @param peers the addresses of the other controllers by their names
   * @param maxMessageBytes a longer message closes the connection that it comes over
   * @param receiver gets each message without its length; the buffer is valid during the call alone
   * @throws IOException if the address can't be bound
   */
  public PeerTransport(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress listen,
      Map<String, String> peers,
      int maxMessageBytes,
      Consumer<ByteBuffer> receiver)
      throws IOException {
    this.maxMessageBytes = maxMessageBytes;
    this.receiver = receiver;
    listener = new SocketListener(scheduler, group, listen, BACKLOG, ACCEPT_PAUSE_MICROS);
    peers.forEach(
        (member, address) ->
            outgoing.put(member, new OutgoingPeerConnection(scheduler, group, address)));
  }

  /** Begins to accept; must be called once, on the event loop or before it runs. */
  public void start() {
    // A peer that could not be accepted tries again.
    listener.start(this::adopt, cause -> {});
  }

  @Override
  public void broadcast(ByteBuffer message) {
    outgoing.values().forEach(connection -> connection.send(message.duplicate()));
  }

  @Override
  public void send(String member, ByteBuffer message) {
    OutgoingPeerConnection connection = outgoing.get(member);
    if (connection != null) {
      connection.send(message);
    }
  }

  private void adopt(AsynchronousSocketChannel channel) {
    // A peer that comes back leaves its old connection half open: the oldest goes.
    if (incoming.size() >= MAX_INCOMING) {
      incoming.pollFirst().close();
    }
    IncomingPeerConnection connection =
        new IncomingPeerConnection(channel, maxMessageBytes, receiver, incoming::remove);
    incoming.addLast(connection);
    connection.read();
  }
}
