package madderrudder.transport;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** One accepted connection: read a request, wait for its answer, write it, read the next. */
final class HttpServerConnection {
  private static final int MAX_BODY = 64 * 1024;
  private static final long IDLE_MICROS = 120_000_000;
  private static final long SLOW_MICROS = 15_000_000;

  private final Scheduler scheduler;
  private final AsynchronousSocketChannel channel;
  private final HttpHandler exchange;
  private final Consumer<HttpServerConnection> onClose;
  private final HttpParser parser = HttpParser.forRequests(MAX_BODY);
  private final ByteBuffer in = ByteBuffer.allocate(4096);
  private boolean answering;
  private boolean closed;
  private long lastMicros;

  HttpServerConnection(
      Scheduler scheduler,
      AsynchronousSocketChannel channel,
      HttpHandler exchange,
      Consumer<HttpServerConnection> onClose) {
    this.scheduler = scheduler;
    this.channel = channel;
    this.exchange = exchange;
    this.onClose = onClose;
    lastMicros = scheduler.nowMicros();
  }

  boolean idle() {
    return !answering && !parser.midMessage();
  }

  long lastMicros() {
    return lastMicros;
  }

  /**
   * A request that trickles in, or an answer that nobody reads, must not hold a socket for long.
   */
  void closeIfOverdue() {
    long limit = idle() ? IDLE_MICROS : SLOW_MICROS;
    if (scheduler.nowMicros() - lastMicros > limit) {
      close();
    }
  }

  void read() {
    in.clear();
    channel.read(
        in,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (count < 0) {
              close();
              return;
            }
            in.flip();
            consume();
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            close();
          }
        });
  }

  private void consume() {
    try {
      boolean fresh = !parser.midMessage();
      if (parser.feed(in)) {
        answering = true;
        lastMicros = scheduler.nowMicros();
        HttpRequest request = parser.request();
        exchange.handle(request, response -> write(response, request.close() || response.close()));
      } else {
        if (fresh) {
          lastMicros = scheduler.nowMicros();
        }
        read();
      }
    } catch (HttpParser.Malformed e) {
      answering = true;
      String body = "{\"error\":\"" + e.getMessage() + "\"}";
      int status = e.status() == 413 ? 400 : e.status();
      write(HttpResponse.of(status, body.getBytes(StandardCharsets.UTF_8)), true);
    }
  }

  private void write(HttpResponse response, boolean thenClose) {
    ByteBuffer out = HttpMessageWriter.response(response, thenClose);
    channel.write(
        out,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (out.hasRemaining()) {
              channel.write(out, null, this);
              return;
            }
            if (thenClose) {
              close();
              return;
            }
            answering = false;
            lastMicros = scheduler.nowMicros();
            if (in.hasRemaining()) {
              consume();
            } else {
              read();
            }
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            close();
          }
        });
  }

  void close() {
    if (!closed) {
      closed = true;
      HttpServer.close(channel);
      onClose.accept(this);
    }
  }
}
