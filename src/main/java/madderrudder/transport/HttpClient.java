package madderrudder.transport;

import java.nio.channels.AsynchronousChannelGroup;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends requests over kept connections, one request at a time on each. A connection is reused only
 * while it is young in idleness, so that one the peer has dropped is rarely met.
 */
public final class HttpClient implements HttpCaller {
  private static final long REUSE_MICROS = 30_000_000;
  private static final int KEEP = 4;

  private final Scheduler scheduler;
  private final AsynchronousChannelGroup group;
  private final int maxConnections;
  private final Map<String, Deque<HttpClientConnection>> idle = new HashMap<>();
  private final Set<HttpClientConnection> idleOldestFirst = new LinkedHashSet<>();
  private int open;

  public HttpClient(Scheduler scheduler, AsynchronousChannelGroup group, int maxConnections) {
    this.scheduler = scheduler;
    this.group = group;
    this.maxConnections = maxConnections;
    scheduler.every(REUSE_MICROS / 2, this::sweep);
  }

  @Override
  public void call(
      String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
    HttpClientConnection connection = takeIdle(address);
    if (connection == null) {
      if (open >= maxConnections && !evictIdle()) {
        scheduler.execute(() -> answer.accept(HttpResponse.notSent()));
        return;
      }
      connection = HttpClientConnection.open(scheduler, group, address, this::done);
      if (connection == null) {
        scheduler.execute(() -> answer.accept(HttpResponse.notSent()));
        return;
      }
      open++;
    }
    connection.send(request, timeoutMicros, answer);
  }

  /**
   * At the limit the connection that has been idle longest makes room: there are more workers than
   * sockets.
   */
  private boolean evictIdle() {
    HttpClientConnection oldest =
        idleOldestFirst.isEmpty() ? null : idleOldestFirst.iterator().next();
    if (oldest == null) {
      return false;
    }
    oldest.close();
    return true;
  }

  private HttpClientConnection takeIdle(String address) {
    Deque<HttpClientConnection> kept = idle.get(address);
    while (kept != null && !kept.isEmpty()) {
      HttpClientConnection connection = kept.pollLast();
      idleOldestFirst.remove(connection);
      if (scheduler.nowMicros() - connection.idleSinceMicros() < REUSE_MICROS
          && connection.usable()) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  /** Called by a connection that is free again, or closed. */
  private void done(HttpClientConnection connection) {
    if (!connection.usable()) {
      open--;
      idleOldestFirst.remove(connection);
      Deque<HttpClientConnection> kept = idle.get(connection.address());
      if (kept != null) {
        kept.remove(connection);
      }
      return;
    }
    Deque<HttpClientConnection> kept =
        idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
    if (kept.size() >= KEEP) {
      connection.close();
    } else {
      kept.addLast(connection);
      idleOldestFirst.add(connection);
    }
  }

  private void sweep() {
    while (!idleOldestFirst.isEmpty()) {
      HttpClientConnection oldest = idleOldestFirst.iterator().next();
      if (scheduler.nowMicros() - oldest.idleSinceMicros() < REUSE_MICROS) {
        break;
      }
      oldest.close();
    }
    idle.values().removeIf(Deque::isEmpty);
  }
}
