package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The messages that come in over one connection from a peer, each with its length (4 bytes) in
 * front. Confined to the event loop thread.
 */
final class IncomingPeerConnection {
  private static final Logger LOG = LoggerFactory.getLogger(IncomingPeerConnection.class);
  private static final int INITIAL_BUFFER_BYTES = 1024;

  private final SocketStream stream;
  private final int maxMessageBytes;
  private final Consumer<ByteBuffer> receiver;
  private final Consumer<IncomingPeerConnection> onClose;
  private ByteBuffer in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  /**
   * A connection that reads nothing yet.
   *
   * @param maxMessageBytes a longer message closes the connection
   * @param receiver gets each message without its length; the buffer is valid during the call alone
   */
  IncomingPeerConnection(
      AsynchronousSocketChannel channel,
      int maxMessageBytes,
      Consumer<ByteBuffer> receiver,
      Consumer<IncomingPeerConnection> onClose) {
    this.stream = new SocketStream(channel, failed -> close());
    this.maxMessageBytes = maxMessageBytes;
    this.receiver = receiver;
    this.onClose = onClose;
  }

  /** Reads on until the connection is closed; called once to begin with. */
  void read() {
    stream.read(
        in,
        () -> {
          if (deliverMessages()) {
            read();
          } else {
            close();
          }
        });
  }

  /** Delivers the messages that are complete; false if one has an impossible length. */
  private boolean deliverMessages() {
    in.flip();
    while (in.remaining() >= Integer.BYTES) {
      int length = in.getInt(in.position());
      if (length <= 0 || length > maxMessageBytes) {
        LOG.info("peer message of bad length {}", length);
        return false;
      }
      if (in.remaining() < Integer.BYTES + length) {
        makeRoomFor(length);
        return true;
      }
      in.getInt();
      receiver.accept(in.slice(in.position(), length));
      in.position(in.position() + length);
    }
    in.compact();
    return true;
  }

  /** Prepares the buffer for the rest of a message that has begun to arrive. */
  private void makeRoomFor(int length) {
    if (in.capacity() < Integer.BYTES + length) {
      in = ByteBuffer.allocate(Integer.BYTES + length).put(in);
    } else {
      in.compact();
    }
  }

  /** Closes the connection; may be called more than once. */
  void close() {
    onClose.accept(this);
    stream.close();
  }
}
