package madderrudder.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts connections and lets one handler answer their requests. Connections, message sizes and
 * idle times are bounded; at the limit the connection that has been idle longest is closed for a
 * new one. Confined to the event loop thread once it is started.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int BACKLOG = 256;
  private static final long ACCEPT_PAUSE_MICROS = 100_000;
  private static final long SWEEP_MICROS = 5_000_000;

  private final Scheduler scheduler;
  private final HttpHandler handler;
  private final int maxConnections;
  private final SocketListener listener;
  private final Set<HttpServerConnection> open = new LinkedHashSet<>();

  /**
   * A server that listens, and accepts nothing before it is started.
   *
   * @param listen the address; with port 0 the system chooses a port
   * @throws IOException if the address can't be bound
   */
  public HttpServer(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      InetSocketAddress listen,
      int maxConnections,
      HttpHandler handler)
      throws IOException {
    this.scheduler = scheduler;
    this.handler = handler;
    this.maxConnections = maxConnections;
    listener = new SocketListener(scheduler, group, listen, BACKLOG, ACCEPT_PAUSE_MICROS);
  }

  /**
   * The port in use, which the system chose if it was given as 0. May be called on any thread.
   *
   * @throws IOException if the server no longer listens
   */
  public int port() throws IOException {
    return listener.port();
  }

  /** Begins to accept; must be called once, on the event loop or before it runs. */
  public void start() {
    listener.start(this::adopt, cause -> LOG.info("accept failed: {}", cause.toString()));
    scheduler.every(SWEEP_MICROS, this::closeOverdue);
  }

  private void adopt(AsynchronousSocketChannel channel) {
    if (open.size() >= maxConnections && !closeLongestIdle()) {
      SocketStream.close(channel);
      return;
    }
    try {
      SocketStream.sendWithoutDelay(channel);
    } catch (IOException e) {
      SocketStream.close(channel);
      return;
    }
    HttpServerConnection connection =
        new HttpServerConnection(scheduler, channel, handler, open::remove);
    open.add(connection);
    connection.read();
  }

  private boolean closeLongestIdle() {
    Optional<HttpServerConnection> oldest =
        open.stream()
            .filter(HttpServerConnection::idle)
            .min(Comparator.comparingLong(HttpServerConnection::lastActiveMicros));
    oldest.ifPresent(HttpServerConnection::close);
    return oldest.isPresent();
  }

  private void closeOverdue() {
    for (HttpServerConnection connection : Set.copyOf(open)) {
      connection.closeIfOverdue();
    }
  }
}
