package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads messages from a connection that a peer has opened. A 4-byte length precedes each message.
 * Confined to the event loop thread.
 */
final class IncomingPeerConnection {
  private static final Logger LOG = LoggerFactory.getLogger(IncomingPeerConnection.class);
  private static final int INITIAL_BUFFER_BYTES = 1024;

  private final SocketStream stream;
  private final int maxMessageBytes;
  private final Consumer<ByteBuffer> receiver;
  private final Consumer<IncomingPeerConnection> onClose;
  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);

  /**
   * Creates a connection that does not read before {@link #read()} is called.
   *
   * @param maxMessageBytes the limit on the length of a message; a longer one closes the connection
   * @param receiver takes each message without its length; the buffer is valid only during the call
   * @param onClose called when the connection closes; may be called more than once
   */
  IncomingPeerConnection(
      AsynchronousSocketChannel channel,
      int maxMessageBytes,
      Consumer<ByteBuffer> receiver,
      Consumer<IncomingPeerConnection> onClose) {
    this.stream = new SocketStream(channel, failedStream -> close());
    this.maxMessageBytes = maxMessageBytes;
    this.receiver = receiver;
    this.onClose = onClose;
  }

  /** Reads and delivers messages until the connection closes. Must be called once from outside. */
  void read() {
    stream.read(
        buffer,
        () -> {
          if (deliverMessages()) {
            read();
          } else {
            close();
          }
        });
  }

  /** Delivers the complete messages in the buffer. Returns false if a length is invalid. */
  private boolean deliverMessages() {
    buffer.flip();
    while (buffer.remaining() >= Integer.BYTES) {
      int length = buffer.getInt(buffer.position());
      if (length <= 0 || length > maxMessageBytes) {
        LOG.info("peer message has invalid length {}, closing its connection", length);
        return false;
      }
      if (buffer.remaining() < Integer.BYTES + length) {
        makeRoomFor(length);
        return true;
      }
      buffer.getInt();
      receiver.accept(buffer.slice(buffer.position(), length));
      buffer.position(buffer.position() + length);
    }
    buffer.compact();
    return true;
  }

  /** Makes room in the buffer for the rest of a partial message. */
  private void makeRoomFor(int length) {
    if (buffer.capacity() < Integer.BYTES + length) {
      buffer = ByteBuffer.allocate(Integer.BYTES + length).put(buffer);
    } else {
      buffer.compact();
    }
  }

  /** Closes the connection and calls {@code onClose}. May be called more than once. */
  void close() {
    onClose.accept(this);
    stream.close();
  }
}
