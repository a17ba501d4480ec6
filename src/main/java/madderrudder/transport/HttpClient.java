package madderrudder.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.nio.channels.AsynchronousChannelGroup;

/**
 * Sends requests over kept connections, one request at a time on each. A connection is reused only
 * while it is young in idleness, so that one the peer has dropped is rarely met.
 */
public final class HttpClient implements HttpCalls {
    private static final long REUSE_MICROS = 30_000_000;
    private static final int KEEP = 4;

    private final Scheduler scheduler;
    private final AsynchronousChannelGroup group;
    private final int maxConnections;
    private final Map<String, Deque<HttpClientConnection>> idle = new HashMap<>();
    private int open;

    public HttpClient(Scheduler scheduler, AsynchronousChannelGroup group, int maxConnections) {
        this.scheduler = scheduler;
        this.group = group;
        this.maxConnections = maxConnections;
        scheduler.every(REUSE_MICROS / 2, this::sweep);
    }

    @Override
    public void call(String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
        HttpClientConnection connection = takeIdle(address);
        if (connection == null) {
            if (open >= maxConnections) {
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

    private HttpClientConnection takeIdle(String address) {
        Deque<HttpClientConnection> kept = idle.get(address);
        while (kept != null && !kept.isEmpty()) {
            HttpClientConnection connection = kept.pollLast();
            if (scheduler.nowMicros() - connection.idleSinceMicros() < REUSE_MICROS && connection.usable()) {
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
            Deque<HttpClientConnection> kept = idle.get(connection.address());
            if (kept != null) {
                kept.remove(connection);
            }
            return;
        }
        Deque<HttpClientConnection> kept = idle.computeIfAbsent(connection.address(), a -> new ArrayDeque<>());
        if (kept.size() >= KEEP) {
            connection.close();
        } else {
            kept.addLast(connection);
        }
    }

    private void sweep() {
        for (Deque<HttpClientConnection> kept : idle.values()) {
            while (!kept.isEmpty()
                    && scheduler.nowMicros() - kept.peekFirst().idleSinceMicros() >= REUSE_MICROS) {
                kept.pollFirst().close();
            }
        }
        idle.values().removeIf(Deque::isEmpty);
    }
}
