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
 * Exchanges length-prefixed messages between controllers. Each controller opens its own connections
 * for the messages that it sends. Safety does not depend on delivery: a message that can't be sent
 * is dropped. Confined to the event loop thread once it is started.
 */
public final class PeerTransport implements PeerMessenger {
  private static final int ACCEPT_BACKLOG = 16;
  private static final long ACCEPT_RETRY_DELAY_MICROS = 200_000;
  private static final int MAX_INCOMING_CONNECTIONS = 16;

  private final SocketListener listener;
  private final int maxMessageBytes;
  private final Consumer<ByteBuffer> receiver;
  private final Map<String, OutgoingPeerConnection> outgoing = new LinkedHashMap<>();
  private final Deque<IncomingPeerConnection> incoming = new ArrayDeque<>();

  /**
   * Creates a transport that is bound to its address, but accepts no connection before it is
   * started.
   *
   * @param listen the address that peers connect to
   * @param peers the addresses of the other controllers by name
   * @param maxMessageBytes the limit on the length of an incoming message; a longer one closes its
   *     connection
   * @param receiver takes each message without its length; the buffer is valid only during the call
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
    listener =
        new SocketListener(scheduler, group, listen, ACCEPT_BACKLOG, ACCEPT_RETRY_DELAY_MICROS);
    peers.forEach(
        (member, address) ->
            outgoing.put(member, new OutgoingPeerConnection(scheduler, group, address)));
  }

  /**
   * Starts to accept connections. Must be called once, on the event loop thread or before the loop
   * runs.
   */
  public void start() {
    // Accept failures need no handling here: the peer connects again.
    listener.start(this::onAccepted, cause -> {});
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

  private void onAccepted(AsynchronousSocketChannel channel) {
    // A peer that reconnects may leave its old connection half open, so the oldest one is closed.
    if (incoming.size() >= MAX_INCOMING_CONNECTIONS) {
      incoming.pollFirst().close();
    }
    IncomingPeerConnection connection =
        new IncomingPeerConnection(channel, maxMessageBytes, receiver, incoming::remove);
    incoming.addLast(connection);
    connection.read();
  }
}
