package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.LinkedHashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections and answers their requests through one exchange. Connections, message sizes
 * and idle times are bounded; at the limit the connection that has been idle longest makes room.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final long ACCEPT_PAUSE_MICROS = 100_000;
  private static final long SWEEP_MICROS = 5_000_000;

  private final Scheduler scheduler;
  private final HttpHandler exchange;
  private final int maxConnections;
  private final AsynchronousServerSocketChannel listener;
  private final Set<HttpServerConnection> open = new LinkedHashSet<>();

  public HttpServer(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress listen,
      int maxConnections,
      HttpHandler exchange)
      throws IOException {
    this.scheduler = scheduler;
    this.exchange = exchange;
    this.maxConnections = maxConnections;
    listener = AsynchronousServerSocketChannel.open(group);
    listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
    listener.bind(listen, 256);
  }

  /** The port in use, which the system chose if it was given as 0. */
  public int port() throws IOException {
    return ((InetSocketAddress) listener.getLocalAddress()).getPort();
  }

  /** Begins to accept; must be called once, on the loop or before it runs. */
  public void start() {
    accept();
    scheduler.every(SWEEP_MICROS, this::sweep);
  }

  private void accept() {
    listener.accept(
        null,
        new CompletionHandler<AsynchronousSocketChannel, Void>() {
          @Override
          public void completed(AsynchronousSocketChannel channel, Void unused) {
            adopt(channel);
            accept();
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            LOG.info("accept failed: {}", cause.toString());
            scheduler.after(ACCEPT_PAUSE_MICROS, HttpServer.this::accept);
          }
        });
  }

  private void adopt(AsynchronousSocketChannel channel) {
    if (open.size() >= maxConnections && !evictIdle()) {
      close(channel);
      return;
    }
    try {
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      close(channel);
      return;
    }
    HttpServerConnection connection =
        new HttpServerConnection(scheduler, channel, exchange, open::remove);
    open.add(connection);
    connection.read();
  }

  private boolean evictIdle() {
    HttpServerConnection oldest = null;
    for (HttpServerConnection connection : open) {
      if (connection.idle() && (oldest == null || connection.lastMicros() < oldest.lastMicros())) {
        oldest = connection;
      }
    }
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  private void sweep() {
    for (HttpServerConnection connection : Set.copyOf(open)) {
      connection.closeIfOverdue();
    }
  }

  static void close(AsynchronousSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException e) {
      LOG.debug("close failed: {}", e.toString());
    }
  }
}
