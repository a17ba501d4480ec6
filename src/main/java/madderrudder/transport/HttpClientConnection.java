package madderrudder.transport;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/** One outgoing connection. It always tells apart "never sent" from "sent and unanswered". */
final class HttpClientConnection {
  private static final int MAX_BODY = 8 * 1024 * 1024;

  private final Scheduler scheduler;
  private final AsynchronousSocketChannel channel;
  private final String address;
  private final Consumer<HttpClientConnection> onDone;
  private final HttpParser parser = HttpParser.forResponses(MAX_BODY);
  private final ByteBuffer in = ByteBuffer.allocate(4096);
  private boolean connected;
  private boolean closed;
  private boolean sent;
  private long idleSinceMicros;
  private Consumer<HttpResponse> waiting;
  private Scheduler.Timer deadline;

  private HttpClientConnection(
      Scheduler scheduler,
      AsynchronousSocketChannel channel,
      String address,
      Consumer<HttpClientConnection> onDone) {
    this.scheduler = scheduler;
    this.channel = channel;
    this.address = address;
    this.onDone = onDone;
  }

  /** Null when the process can't open another socket. */
  static HttpClientConnection open(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      String address,
      Consumer<HttpClientConnection> onDone) {
    try {
      AsynchronousSocketChannel channel = AsynchronousSocketChannel.open(group);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      return new HttpClientConnection(scheduler, channel, address, onDone);
    } catch (IOException e) {
      return null;
    }
  }

  String address() {
    return address;
  }

  long idleSinceMicros() {
    return idleSinceMicros;
  }

  boolean usable() {
    return !closed;
  }

  void send(HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
    waiting = answer;
    sent = false;
    deadline = scheduler.after(timeoutMicros, this::fail);
    ByteBuffer out = HttpMessageWriter.request(address, request);
    if (connected) {
      write(out);
      return;
    }
    channel.connect(
        Addresses.parse(address),
        null,
        new CompletionHandler<Void, Void>() {
          @Override
          public void completed(Void nothing, Void unused) {
            connected = true;
            if (!closed) {
              write(out);
            }
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            fail();
          }
        });
  }

  private void write(ByteBuffer out) {
    sent = true;
    channel.write(
        out,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (out.hasRemaining()) {
              channel.write(out, null, this);
            } else {
              read();
            }
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            fail();
          }
        });
  }

  private void read() {
    in.clear();
    channel.read(
        in,
        null,
        new CompletionHandler<Integer, Void>() {
          @Override
          public void completed(Integer count, Void unused) {
            if (closed) {
              return;
            }
            if (count < 0) {
              fail();
              return;
            }
            in.flip();
            consume();
          }

          @Override
          public void failed(Throwable cause, Void unused) {
            fail();
          }
        });
  }

  private void consume() {
    try {
      if (!parser.feed(in)) {
        read();
        return;
      }
    } catch (HttpParser.Malformed e) {
      fail();
      return;
    }
    HttpResponse response = parser.response();
    Consumer<HttpResponse> receiver = settle();
    if (response.close() || in.hasRemaining()) {
      close();
    } else {
      idleSinceMicros = scheduler.nowMicros();
      onDone.accept(this);
    }
    receiver.accept(response);
  }

  private Consumer<HttpResponse> settle() {
    deadline.cancel();
    Consumer<HttpResponse> receiver = waiting;
    waiting = null;
    return receiver;
  }

  private void fail() {
    boolean left = sent;
    close();
    if (waiting != null) {
      settle().accept(left ? HttpResponse.silent() : HttpResponse.notSent());
    }
  }

  void close() {
    if (!closed) {
      closed = true;
      HttpServer.close(channel);
      onDone.accept(this);
    }
  }
}
