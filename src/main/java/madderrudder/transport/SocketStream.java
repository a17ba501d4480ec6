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
 * Reads and writes on one asynchronous socket channel. Whatever goes wrong, the end of the stream
 * included, is reported to one failure callback, also after the stream was closed. Confined to the
 * event loop thread, where the callbacks run too.
 */
final class SocketStream {
  private static final Logger LOG = LoggerFactory.getLogger(SocketStream.class);

  private final AsynchronousSocketChannel channel;
  private final Consumer<SocketStream> onFailure;

  /** A stream on an accepted channel. */
  SocketStream(AsynchronousSocketChannel channel, Consumer<SocketStream> onFailure) {
    this.channel = channel;
    this.onFailure = onFailure;
  }

  /**
   * A stream that is yet to be connected.
   *
   * @throws IOException if the process can't open another socket
   */
  static SocketStream open(AsynchronousChannelGroup group, Consumer<SocketStream> onFailure)
      throws IOException {
    AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(group);
    sendWithoutDelay(channel);
    return new SocketStream(channel, onFailure);
  }

  /**
   * Turns the coalescing of small packets off: each message is written whole, and is to leave at
   * once.
   *
   * @throws IOException if the channel does not take the option
   */
  static void sendWithoutDelay(AsynchronousSocketChannel channel) throws IOException {
    channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
  }

  /** Connects, then calls back. */
  void connect(InetSocketAddress address, Runnable onConnected) {
    channel.connect(
        address,
        null,
        new Handler<Void>() {
          @Override
          public void completed(Void nothing, Void unused) {
            onConnected.run();
          }
        });
  }

  /** Reads one byte at least into the buffer, as many as have arrived, then calls back. */
  void read(ByteBuffer in, Runnable onRead) {
    channel.read(
        in,
        null,
        new Handler<Integer>() {
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

  /** Writes all that remains in the buffer, then calls back. */
  void write(ByteBuffer out, Runnable onWritten) {
    channel.write(
        out,
        null,
        new Handler<Integer>() {
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

  /** Closes the channel; may be called more than once. */
  void close() {
    close(channel);
  }

  /** Closes a channel that no stream was made of. */
  static void close(AsynchronousSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("close failed: {}", e.toString());
    }
  }

  /** What is common to all completions: a failure is passed on. */
  private abstract class Handler<T> implements CompletionHandler<T, Void> {
    @Override
    public void failed(Throwable cause, Void unused) {
      onFailure.accept(SocketStream.this);
    }
  }
}
