package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads and writes on one asynchronous socket channel. A single callback receives every failure,
 * including the end of the stream, even after the stream has been closed. Confined to the event
 * loop thread, on which the callbacks run too.
 */
final class SocketStream {
  private static final Logger LOG = LoggerFactory.getLogger(SocketStream.class);

  private final AsynchronousSocketChannel channel;
  private final Consumer<SocketStream> onFailure;

  /** Creates a stream on an accepted channel. */
  SocketStream(AsynchronousSocketChannel channel, Consumer<SocketStream> onFailure) {
    this.channel = channel;
    this.onFailure = onFailure;
  }

  /**
   * Creates a stream that is not connected yet.
   *
   * @throws IOException if the process can't open another socket
   */
  static SocketStream open(AsynchronousChannelGroup group, Consumer<SocketStream> onFailure)
      throws IOException {
    AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(group);
    disableNagle(channel);
    return new SocketStream(channel, onFailure);
  }

  /**
   * Disables Nagle's algorithm. Each message takes a single write, so there is nothing to coalesce
   * and the system sends it without delay.
   *
   * @throws IOException if the option can't be set
   */
  static void disableNagle(AsynchronousSocketChannel channel) throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  /** Connects, then calls {@code onConnected}. */
  void connect(InetSocketAddress address, Runnable onConnected) {
    channel.connect(
        address,
        null,
        new FailureReportingHandler<Void>() {
          @Override
          public void completed(Void result, Void unused) {
            onConnected.run();
          }
        });
  }

  /** Reads at least one byte into the buffer, then calls {@code onRead}. */
  void read(ByteBuffer in, Runnable onRead) {
    channel.read(
        in,
        null,
        new FailureReportingHandler<Integer>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (count < 0) {
              onFailure.accept(SocketStream.this);
            } else {
              onRead.run();
            }
          }
        });
  }

  /** Writes all remaining bytes of the buffer, then calls {@code onWritten}. */
  void write(ByteBuffer out, Runnable onWritten) {
    channel.write(
        out,
        null,
        new FailureReportingHandler<Integer>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (out.hasRemaining()) {
              channel.write(out, null, this);
            } else {
              onWritten.run();
            }
          }
        });
  }

  /** Closes the channel. Has no effect if it is already closed. */
  void close() {
    close(channel);
  }

  /** Closes a channel that has no stream. */
  static void close(AsynchronousSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("failed to close a socket channel: {}", e.toString());
    }
  }

  /** Completion handler that passes a failure to the failure callback of the stream. */
  private abstract class FailureReportingHandler<T> implements CompletionHandler<T, Void> {
    @Override
    public void failed(Throwable cause, Void unused) {
      onFailure.accept(SocketStream.this);
    }
  }
}
