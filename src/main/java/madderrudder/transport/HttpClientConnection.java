package madderrudder.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One outgoing connection. It always tells a request that was never sent from one that was sent and
 * not answered. Confined to the event loop thread.
 */
final class HttpClientConnection {
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int READ_BYTES = 4096;

  private final Scheduler scheduler;
  private final SocketStream stream;
  private final String address;
  private final Consumer<HttpClientConnection> onDone;
  private final HttpParser parser = HttpParser.forResponses(MAX_BODY_BYTES);
  private final ByteBuffer in = ByteBuffer.allocate(READ_BYTES);
  private boolean connected;
  private boolean closed;
  private boolean sent;
  private long idleSinceMicros;
  private Consumer<HttpResponse> receiver;
  private Scheduler.Timer timeout;

  private HttpClientConnection(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      String address,
      Consumer<HttpClientConnection> onDone)
      throws IOException {
    this.scheduler = scheduler;
    this.stream = SocketStream.open(group, failed -> fail());
    this.address = address;
    this.onDone = onDone;
  }

  /**
   * A connection that the first request connects.
   *
   * @param onDone called whenever the connection is free for another request, and once it is closed
   * @return empty if the process can't open another socket
   */
  static Optional<HttpClientConnection> open(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      String address,
      Consumer<HttpClientConnection> onDone) {
    try {
      return Optional.of(new HttpClientConnection(scheduler, group, address, onDone));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** The address that it connects to. */
  String address() {
    return address;
  }

  /** When its last response was complete. */
  long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Whether it is not closed. */
  boolean usable() {
    return !closed;
  }

  /** Sends a request; there must be no other that waits for its response. */
  void send(HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer) {
    receiver = answer;
    sent = false;
    timeout = scheduler.after(timeoutMicros, this::fail);
    ByteBuffer out = HttpMessageWriter.request(address, request);
    if (connected) {
      write(out);
      return;
    }
    stream.connect(
        Addresses.parse(address),
        () -> {
          connected = true;
          if (!closed) {
            write(out);
          }
        });
  }

  private void write(ByteBuffer out) {
    sent = true;
    stream.write(out, this::read);
  }

  private void read() {
    in.clear();
    stream.read(
        in,
        () -> {
          if (!closed) {
            in.flip();
            parse();
          }
        });
  }

  private void parse() {
    try {
      if (!parser.feed(in)) {
        read();
        return;
      }
    } catch (HttpParseException e) {
      fail();
      return;
    }
    HttpResponse response = parser.response();
    Consumer<HttpResponse> answered = endRequest();
    if (response.close() || in.hasRemaining()) {
      close();
    } else {
      idleSinceMicros = scheduler.nowMicros();
      onDone.accept(this);
    }
    answered.accept(response);
  }

  /** Ends the wait for the response, and returns who waited for it. */
  private Consumer<HttpResponse> endRequest() {
    timeout.cancel();
    Consumer<HttpResponse> answered = receiver;
    receiver = null;
    return answered;
  }

  private void fail() {
    boolean wasSent = sent;
    close();
    if (receiver != null) {
      endRequest().accept(wasSent ? HttpResponse.noResponse() : HttpResponse.notSent());
    }
  }

  /** Closes the connection; may be called more than once. */
  void close() {
    if (!closed) {
      closed = true;
      stream.close();
      onDone.accept(this);
    }
  }
}
