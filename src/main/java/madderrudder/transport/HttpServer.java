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
 * Accepts connections and passes their requests to a single handler. The number of connections, the
 * message sizes and the idle times are limited. At the connection limit, a new connection replaces
 * the one that has been idle longest, and is rejected if none is idle. Confined to the event loop
 * thread once it is started.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
  private static final int ACCEPT_BACKLOG = 256;
  private static final long ACCEPT_RETRY_DELAY_MICROS = 100_000;
  private static final long TIMEOUT_CHECK_INTERVAL_MICROS = 5_000_000;

  private final Scheduler scheduler;
  private final HttpHandler handler;
  private final int maxConnections;
  private final SocketListener listener;
  private final Set<HttpServerConnection> openConnections = new LinkedHashSet<>();

  /**
   * Creates a server that is bound to its address, but accepts no connection before it is started.
   *
   * @param listen the address to bind; the system chooses the port if it is 0
   * @param maxConnections the limit on open connections
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
    listener =
        new SocketListener(scheduler, group, listen, ACCEPT_BACKLOG, ACCEPT_RETRY_DELAY_MICROS);
  }

  /**
   * Returns the bound port. May be called on any thread.
   *
   * @throws IOException if the listening socket has been closed
   */
  public int port() throws IOException {
    return listener.port();
  }

  /**
   * Starts to accept connections. Must be called once, on the event loop thread or before the loop
   * runs.
   */
  public void start() {
    listener.start(
        this::onAccepted,
        cause ->
            LOG.info(
                "failed to accept a client connection, retrying after a pause: {}",
                cause.toString()));
    scheduler.runEvery(TIMEOUT_CHECK_INTERVAL_MICROS, this::closeTimedOut);
  }

  private void onAccepted(AsynchronousSocketChannel channel) {
    if (openConnections.size() >= maxConnections && !closeLongestIdle()) {
      SocketStream.close(channel);
      return;
    }
    try {
      SocketStream.disableNagle(channel);
    } catch (IOException e) {
      SocketStream.close(channel);
      return;
    }
    HttpServerConnection connection =
        new HttpServerConnection(scheduler, channel, handler, openConnections::remove);
    openConnections.add(connection);
    connection.read();
  }

  /** Closes the connection that has been idle longest. Returns false if none is idle. */
  private boolean closeLongestIdle() {
    Optional<HttpServerConnection> longestIdle =
        openConnections.stream()
            .filter(HttpServerConnection::isIdle)
            .min(Comparator.comparingLong(HttpServerConnection::lastActiveMicros));
    longestIdle.ifPresent(HttpServerConnection::close);
    return longestIdle.isPresent();
  }

  private void closeTimedOut() {
    for (HttpServerConnection connection : Set.copyOf(openConnections)) {
      connection.closeIfTimedOut();
    }
  }
}
