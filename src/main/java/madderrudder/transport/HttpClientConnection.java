package madderrudder.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A client connection with at most one request in flight. A failed request yields {@link
 * HttpResponse#notSent()} if its write has not begun, and {@link HttpResponse#noResponse()}
 * otherwise. Confined to the event loop thread.
 */
final class HttpClientConnection {
  private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;
  private static final int READ_BUFFER_BYTES = 4096;

  private final Scheduler scheduler;
  private final SocketStream stream;
  private final String address;
  private final Consumer<HttpClientConnection> onIdleOrClosed;
  private final HttpParser parser = HttpParser.forResponses(MAX_BODY_BYTES);
  private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
  private boolean connected;
  private boolean closed;
  private boolean requestSent;
  private long idleSinceMicros;

  /** Null while no request is in flight. */
  private Consumer<HttpResponse> onResponse;

  private Scheduler.Timer timeout;

  private HttpClientConnection(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      String address,
      Consumer<HttpClientConnection> onIdleOrClosed)
      throws IOException {
    this.scheduler = scheduler;
    this.stream = SocketStream.open(group, failedStream -> fail());
    this.address = address;
    this.onIdleOrClosed = onIdleOrClosed;
  }

  /**
   * Opens a socket; the first request connects it.
   *
   * @param onIdleOrClosed called whenever the connection is free for another request, and when it
   *     has closed
   * @return empty if the process can't open another socket
   */
  static Optional<HttpClientConnection> open(
      Scheduler scheduler,
      AsynchronousChannelGroup group,
      String address,
      Consumer<HttpClientConnection> onIdleOrClosed) {
    try {
      return Optional.of(new HttpClientConnection(scheduler, group, address, onIdleOrClosed));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** Returns the server address of this connection. */
  String address() {
    return address;
  }

  /** Returns the time at which the last response was complete; 0 before the first response. */
  long idleSinceMicros() {
    return idleSinceMicros;
  }

  /** Returns whether the connection has not been closed; it may not have connected yet. */
  boolean isOpen() {
    return !closed;
  }

  /** Sends a request. No other request may be in flight on this connection. */
  void send(HttpRequest request, long timeoutMicros, Consumer<HttpResponse> onResponse) {
    this.onResponse = onResponse;
    requestSent = false;
    timeout = scheduler.runAfter(timeoutMicros, this::fail);
    ByteBuffer requestBytes = HttpMessageWriter.encodeRequest(address, request);
    if (connected) {
      write(requestBytes);
      return;
    }
    stream.connect(
        Addresses.parse(address),
        () -> {
          connected = true;
          if (!closed) {
            write(requestBytes);
          }
        });
  }

  private void write(ByteBuffer requestBytes) {
    requestSent = true;
    stream.write(requestBytes, this::read);
  }

  private void read() {
    readBuffer.clear();
    stream.read(
        readBuffer,
        () -> {
          if (!closed) {
            readBuffer.flip();
            parse();
          }
        });
  }

  private void parse() {
    try {
      if (!parser.feed(readBuffer)) {
        read();
        return;
      }
    } catch (HttpParseException e) {
      fail();
      return;
    }
    HttpResponse response = parser.response();
    Consumer<HttpResponse> callback = endRequest();
    if (response.closesConnection() || readBuffer.hasRemaining()) {
      close();
    } else {
      idleSinceMicros = scheduler.nowMicros();
      onIdleOrClosed.accept(this);
    }
    callback.accept(response);
  }

  /** Clears the request in flight and its timeout, and returns the callback of the request. */
  private Consumer<HttpResponse> endRequest() {
    timeout.cancel();
    Consumer<HttpResponse> callback = onResponse;
    onResponse = null;
    return callback;
  }

  private void fail() {
    boolean wasSent = requestSent;
    close();
    if (onResponse != null) {
      endRequest().accept(wasSent ? HttpResponse.noResponse() : HttpResponse.notSent());
    }
  }

  /** Closes the connection. Has no effect if it is already closed. */
  void close() {
    if (!closed) {
      closed = true;
      stream.close();
      onIdleOrClosed.accept(this);
    }
  }
}
