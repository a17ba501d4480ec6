package madderrudder.transport;

import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends requests over pooled connections, one request at a time on each. A connection is reused
 * only if it has been idle for a short time, so that a request rarely fails on a connection that
 * the server has already closed. Confined to the event loop thread.
 */
public final class HttpClient implements HttpCaller {
  private static final long MAX_IDLE_MICROS = 30_000_000;
  private static final int MAX_IDLE_CONNECTIONS_PER_ADDRESS = 4;

  private final Scheduler scheduler;
  private final AsynchronousChannelGroup group;
  private final int maxConnections;
  private final Map<String, Deque<HttpClientConnection>> idleByAddress = new HashMap<>();
  private final Set<HttpClientConnection> idleOldestFirst = new LinkedHashSet<>();
  private int openConnections;

  /**
   * Creates a client without connections.
   *
   * @param maxConnections the limit on open connections, including idle ones
   */
  public HttpClient(Scheduler scheduler, AsynchronousChannelGroup group, int maxConnections) {
    this.scheduler = scheduler;
    this.group = group;
    this.maxConnections = maxConnections;
    scheduler.runEvery(MAX_IDLE_MICROS / 2, this::closeExpired);
  }

  @Override
  public void call(
      String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> onResponse) {
    Optional<HttpClientConnection> connection = takeIdle(address).or(() -> openConnection(address));
    if (connection.isPresent()) {
      connection.get().send(request, timeoutMicros, onResponse);
    } else {
      scheduler.execute(() -> onResponse.accept(HttpResponse.notSent()));
    }
  }

  private Optional<HttpClientConnection> takeIdle(String address) {
    Deque<HttpClientConnection> pooled = idleByAddress.get(address);
    while (pooled != null && !pooled.isEmpty()) {
      HttpClientConnection connection = pooled.pollLast();
      idleOldestFirst.remove(connection);
      if (!isExpired(connection) && connection.isOpen()) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private Optional<HttpClientConnection> openConnection(String address) {
    if (openConnections >= maxConnections && !closeLongestIdle()) {
      return Optional.empty();
    }
    Optional<HttpClientConnection> connection =
        HttpClientConnection.open(scheduler, group, address, this::onIdleOrClosed);
    if (connection.isPresent()) {
      openConnections++;
    }
    return connection;
  }

  /**
   * Closes the connection that has been idle longest, to make room for a new one: there are more
   * workers than sockets. Returns false if no connection is idle.
   */
  private boolean closeLongestIdle() {
    if (idleOldestFirst.isEmpty()) {
      return false;
    }
    idleOldestFirst.iterator().next().close();
    return true;
  }

  /** Pools a connection that has become idle, or removes one that has closed. */
  private void onIdleOrClosed(HttpClientConnection connection) {
    if (connection.isOpen()) {
      addToPool(connection);
    } else {
      removeClosed(connection);
    }
  }

  private void addToPool(HttpClientConnection connection) {
    Deque<HttpClientConnection> pooled =
        idleByAddress.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
    if (pooled.size() >= MAX_IDLE_CONNECTIONS_PER_ADDRESS) {
      connection.close();
    } else {
      pooled.addLast(connection);
      idleOldestFirst.add(connection);
    }
  }

  private void removeClosed(HttpClientConnection connection) {
    openConnections--;
    idleOldestFirst.remove(connection);
    Deque<HttpClientConnection> pooled = idleByAddress.get(connection.address());
    if (pooled != null) {
      pooled.remove(connection);
    }
  }

  private boolean isExpired(HttpClientConnection connection) {
    return scheduler.nowMicros() - connection.idleSinceMicros() >= MAX_IDLE_MICROS;
  }

  private void closeExpired() {
    while (!idleOldestFirst.isEmpty()) {
      HttpClientConnection oldest = idleOldestFirst.iterator().next();
      if (!isExpired(oldest)) {
        break;
      }
      oldest.close();
    }
    idleByAddress.values().removeIf(Deque::isEmpty);
  }
}
