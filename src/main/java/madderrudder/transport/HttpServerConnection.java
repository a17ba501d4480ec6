package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * One accepted connection: reads a request, waits for its response, writes it, reads the next.
 * Confined to the event loop thread.
 */
final class HttpServerConnection {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int READ_BYTES = 4096;
  private static final long MAX_IDLE_MICROS = 120_000_000;
  private static final long MAX_MESSAGE_MICROS = 15_000_000;

  private final Scheduler scheduler;
  private final SocketStream stream;
  private final HttpHandler handler;
  private final Consumer<HttpServerConnection> onClose;
  private final HttpParser parser = HttpParser.forRequests(MAX_BODY_BYTES);
  private final ByteBuffer in = ByteBuffer.allocate(READ_BYTES);
  private boolean responding;
  private boolean closed;
  private long lastActiveMicros;

  HttpServerConnection(
      Scheduler scheduler,
      AsynchronousSocketChannel channel,
      HttpHandler handler,
      Consumer<HttpServerConnection> onClose) {
    this.scheduler = scheduler;
    this.stream = new SocketStream(channel, failed -> close());
    this.handler = handler;
    this.onClose = onClose;
    lastActiveMicros = scheduler.nowMicros();
  }

  /** Whether no request is being read or answered. */
  boolean idle() {
    return !responding && !parser.midMessage();
  }

  /** When a message last began or ended. */
  long lastActiveMicros() {
    return lastActiveMicros;
  }

  /**
   * Closes a connection that was idle for long. A request that trickles in, or a response that
   * nobody reads, must not keep a socket for long either.
   */
  void closeIfOverdue() {
    long limitMicros = idle() ? MAX_IDLE_MICROS : MAX_MESSAGE_MICROS;
    if (scheduler.nowMicros() - lastActiveMicros > limitMicros) {
      close();
    }
  }

  /** Reads on; called once to begin with. */
  void read() {
    in.clear();
    stream.read(
        in,
        () -> {
          in.flip();
          parse();
        });
  }

  private void parse() {
    try {
      boolean fresh = !parser.midMessage();
      if (parser.feed(in)) {
        handle(parser.request());
        return;
      }
      if (fresh) {
        lastActiveMicros = scheduler.nowMicros();
      }
      read();
    } catch (HttpParseException e) {
      refuse(e);
    }
  }

  private void handle(HttpRequest request) {
    responding = true;
    lastActiveMicros = scheduler.nowMicros();
    handler.handle(request, response -> write(response, request.close() || response.close()));
  }

  /** A body that is too large gets a 400: users would retry after a 413. */
  private void refuse(HttpParseException cause) {
    responding = true;
    String body = "{\"error\":\"" + cause.getMessage() + "\"}";
    int status = cause.status() == 413 ? 400 : cause.status();
    write(HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8)), true);
  }

  private void write(HttpResponse response, boolean thenClose) {
    stream.write(
        HttpMessageWriter.response(response, thenClose),
        () -> {
          if (thenClose) {
            close();
          } else {
            readNext();
          }
        });
  }

  private void readNext() {
    responding = false;
    lastActiveMicros = scheduler.nowMicros();
    if (in.hasRemaining()) {
      parse();
    } else {
      read();
    }
  }

  /** Closes the connection; may be called more than once. */
  void close() {
    if (!closed) {
      closed = true;
      stream.close();
      onClose.accept(this);
    }
  }
}
