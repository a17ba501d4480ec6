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
 * Accepts connections one after another. After a failure, for example for want of file descriptors,
 * it pauses. Confined to the event loop thread once it is started.
 */
final class SocketListener {
  private final Scheduler scheduler;
  private final AsynchronousServerSocketChannel channel;
  private final long pauseMicros;

  /**
   * Binds the address.
   *
   * @param backlog how many connections may wait to be accepted
   * @param pauseMicros the pause after a failure to accept
   * @throws IOException if the address can't be bound
   */
  SocketListener(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress address,
      int backlog,
      long pauseMicros)
      throws IOException {
    this.scheduler = scheduler;
    this.pauseMicros = pauseMicros;
    channel = AsynchronousServerSocketChannel.open(group);
    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    channel.bind(address, backlog);
  }

  /** The bound port, which the system chose if 0 was asked for. */
  int port() throws IOException {
    return ((InetSocketAddress) channel.getLocalAddress()).getPort();
  }

  /** Accepts from now on; must be called once, on the event loop or before it runs. */
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
            scheduler.after(pauseMicros, () -> channel.accept(null, this));
          }
        });
  }
}
