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
 * only while it has been idle for a short time, so that one that the peer has closed is rarely met.
 * Confined to the event loop thread.
 */
public final class HttpClient implements HttpCaller {
  private static final long MAX_IDLE_MICROS = 30_000_000;
  private static final int MAX_IDLE_PER_ADDRESS = 4;

  private final Scheduler scheduler;
  private final AsynchronousChannelGroup group;
  private final int maxConnections;
  private final Map<String, Deque<HttpClientConnection>> idle = new HashMap<>();
  private final Set<HttpClientConnection> idleOldestFirst = new LinkedHashSet<>();
  private int openConnections;

  /**
   * A client without connections.
   *
   * @param maxConnections the largest number of connections, idle ones included
   */
  public HttpClient(Scheduler scheduler, AsynchronousChannelGroup group, int maxConnections) {
    this.scheduler = scheduler;
    this.group = group;
    this.maxConnections = maxConnections;
    scheduler.every(MAX_IDLE_MICROS / 2, this::closeOverdue);
  }

  @Override
  public void call(
      String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
    Optional<HttpClientConnection> connection = takeIdle(address).or(() -> open(address));
    if (connection.isPresent()) {
      connection.get().send(request, timeoutMicros, answer);
    } else {
      scheduler.execute(() -> answer.accept(HttpResponse.notSent()));
    }
  }

  private Optional<HttpClientConnection> takeIdle(String address) {
    Deque<HttpClientConnection> kept = idle.get(address);
    while (kept != null && !kept.isEmpty()) {
      HttpClientConnection connection = kept.pollLast();
      idleOldestFirst.remove(connection);
      if (!overdue(connection) && connection.usable()) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private Optional<HttpClientConnection> open(String address) {
    if (openConnections >= maxConnections && !closeLongestIdle()) {
      return Optional.empty();
    }
    Optional<HttpClientConnection> connection =
        HttpClientConnection.open(scheduler, group, address, this::done);
    if (connection.isPresent()) {
      openConnections++;
    }
    return connection;
  }

  /** There are more workers than sockets, so idle connections may have to go. */
  private boolean closeLongestIdle() {
    if (idleOldestFirst.isEmpty()) {
      return false;
    }
    idleOldestFirst.iterator().next().close();
    return true;
  }

  /** Called by a connection that is free again, or closed. */
  private void done(HttpClientConnection connection) {
    if (connection.usable()) {
      keep(connection);
    } else {
      forget(connection);
    }
  }

  private void keep(HttpClientConnection connection) {
    Deque<HttpClientConnection> kept =
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
    if (kept.size() >= MAX_IDLE_PER_ADDRESS) {
      connection.close();
    } else {
      kept.addLast(connection);
      idleOldestFirst.add(connection);
    }
  }

  private void forget(HttpClientConnection connection) {
    openConnections--;
    idleOldestFirst.remove(connection);
    Deque<HttpClientConnection> kept = idle.get(connection.address());
    if (kept != null) {
      kept.remove(connection);
    }
  }

  private boolean overdue(HttpClientConnection connection) {
    return scheduler.nowMicros() - connection.idleSinceMicros() >= MAX_IDLE_MICROS;
  }

  private void closeOverdue() {
    while (!idleOldestFirst.isEmpty()) {
      HttpClientConnection oldest = idleOldestFirst.iterator().next();
      if (!overdue(oldest)) {
        break;
      }
      oldest.close();
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
