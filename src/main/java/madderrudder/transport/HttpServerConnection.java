package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * A connection that a client has opened. Handles one request at a time: reads it, passes it to the
 * handler, and writes the response before it reads the next request. Confined to the event loop
 * thread.
 */
final class HttpServerConnection {
  private static final int MAX_BODY_BYTES = 64 * 1024;
  private static final int READ_BUFFER_BYTES = 4096;
  private static final long MAX_IDLE_MICROS = 120_000_000;

  /** Limit on receiving one request, and then on handling it and writing its response. */
  private static final long MAX_BUSY_MICROS = 15_000_000;

  private final Scheduler scheduler;
  private final SocketStream stream;
  private final HttpHandler handler;
  private final Consumer<HttpServerConnection> onClose;
  private final HttpParser parser = HttpParser.forRequests(MAX_BODY_BYTES);
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private boolean responding;
  private boolean closed;
  private long lastActiveMicros;

  /**
   * Creates a connection on an accepted channel. It does not read before {@link #read()} is called.
   *
   * @param onClose called once, when the connection closes
   */
  HttpServerConnection(
      Scheduler scheduler,
      AsynchronousSocketChannel channel,
      HttpHandler handler,
      Consumer<HttpServerConnection> onClose) {
    this.scheduler = scheduler;
    this.stream = new SocketStream(channel, failedStream -> close());
    this.handler = handler;
    this.onClose = onClose;
    lastActiveMicros = scheduler.nowMicros();
  }

  /** Returns whether no request is being read or handled and no response is being written. */
  boolean isIdle() {
    return !responding && !parser.isMidMessage();
  }

  /** Returns the time at which a request last began or was complete, or a response was written. */
  long lastActiveMicros() {
    return lastActiveMicros;
  }

  /**
   * Closes the connection if it has been idle, or busy with one message, for longer than the limit.
   * The limit on busy connections frees the socket of a client that sends a request too slowly or
   * does not read the response.
   */
  void closeIfTimedOut() {
    long limitMicros = isIdle() ? MAX_IDLE_MICROS : MAX_BUSY_MICROS;
    if (scheduler.nowMicros() - lastActiveMicros > limitMicros) {
      close();
    }
  }

  /** Starts the next read. The server calls this method once, for the first read. */
  void read() {
    readBuffer.clear();
    stream.read(
        readBuffer,
        () -> {
          readBuffer.flip();
          parse();
        });
  }

  private void parse() {
    try {
      boolean isNewMessage = !parser.isMidMessage();
      if (parser.feed(readBuffer)) {
        handle(parser.request());
        return;
      }
      if (isNewMessage) {
        lastActiveMicros = scheduler.nowMicros();
      }
      read();
    } catch (HttpParseException e) {
      reject(e);
    }
  }

  private void handle(HttpRequest request) {
    responding = true;
    lastActiveMicros = scheduler.nowMicros();
    handler.handle(
        request,
        response -> write(response, request.closesConnection() || response.closesConnection()));
  }

  /**
   * Responds to a malformed request and closes the connection. A body that is too large is answered
   * with 400, because users retry a request after a 413.
   */
  private void reject(HttpParseException cause) {
    responding = true;
    String body = "{\"error\":\"" + cause.getMessage() + "\"}";
    int status = cause.status() == 413 ? 400 : cause.status();
    write(HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8)), true);
  }

  private void write(HttpResponse response, boolean closeAfterwards) {
    stream.write(
        HttpMessageWriter.encodeResponse(response, closeAfterwards),
        () -> {
          if (closeAfterwards) {
            close();
          } else {
            readNext();
          }
        });
  }

  private void readNext() {
    responding = false;
    lastActiveMicros = scheduler.nowMicros();
    if (readBuffer.hasRemaining()) {
      parse();
    } else {
      read();
    }
  }

  /** Closes the connection. Has no effect if it is already closed. */
  void close() {
    if (!closed) {
      closed = true;
      stream.close();
      onClose.accept(this);
    }
  }
}
