package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/**
 * Accepts connections one after another. After a failure, for example when the process is out of
 * file descriptors, it pauses before the next attempt. Confined to the event loop thread once it is
 * started.
 */
final class SocketListener {
  private final Scheduler scheduler;
  private final AsynchronousServerSocketChannel channel;
  private final long retryDelayMicros;

  /**
   * Creates a listener that is bound to the address, but accepts no connection before it is
   * started.
   *
   * @param backlog the limit on connections that wait to be accepted
   * @param retryDelayMicros the delay after a failure until the next attempt to accept
   * @throws IOException if the address can't be bound
   */
  SocketListener(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress address,
      int backlog,
      long retryDelayMicros)
      throws IOException {
    this.scheduler = scheduler;
    this.retryDelayMicros = retryDelayMicros;
    channel = AsynchronousServerSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(address, backlog);
  }

  /**
   * Returns the bound port. May be called on any thread.
   *
   * @throws IOException if the listening socket has been closed
   */
  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  /**
   * Starts to accept connections. Must be called once, on the event loop thread or before the loop
   * runs.
   *
   * @param onAccepted takes each accepted channel, which the callee must close
   * @param onFailure takes the cause of each failed attempt
   */
  void start(Consumer<AsynchronousSocketChannel> onAccepted, Consumer<Throwable> onFailure) {
    channel.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel accepted, Void unused) {
            onAccepted.accept(accepted);
            channel.accept(null, this);
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            onFailure.accept(cause);
            scheduler.runAfter(retryDelayMicros, () -> channel.accept(null, this));
          }
        });
  }
}
