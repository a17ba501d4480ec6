package madderrudder.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Exchanges requests between the HTTP client and server over loopback sockets. Guards against
 * bodies cut off at the size of a socket buffer, failed requests that report the wrong outcome, and
 * pipelined requests that are lost or answered out of order.
 */
@Timeout(60)
class HttpOverLoopbackTest {
  private static final long RESPONSE_TIMEOUT_MICROS = 20_000_000;
  private static final InetSocketAddress ANY_LOOPBACK_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoop loop = new EventLoop();
  private final List<HttpRequest> handled = new ArrayList<>();
  private AsynchronousChannelGroup group;
  private HttpClient client;
  private HttpServer server;

  @BeforeEach
  void startServer() throws IOException {
    group = AsynchronousChannelGroup.withThreadPool(loop);
    client = new HttpClient(loop, group, 8);
    server = new HttpServer(loop, group, ANY_LOOPBACK_PORT, 8, this::handle);
    server.start();
    Thread thread = new Thread(loop::run, "event loop");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stopEventLoop() throws IOException {
    loop.shutdown();
    group.shutdownNow();
  }

  /** Echoes the body; never responds to requests for /silence. */
  private void handle(HttpRequest request, Consumer<HttpResponse> respond) {
    handled.add(request);
    if (!request.path().equals("/silence")) {
      respond.accept(HttpResponse.of(200, request.body()));
    }
  }

  private HttpResponse call(int port, HttpRequest request, long timeoutMicros) throws Exception {
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    loop.execute(
        () -> client.call("127.0.0.1:" + port, request, timeoutMicros, response::complete));
    return response.get(30, TimeUnit.SECONDS);
  }

  @Test
  void bodiesLargerThanSocketBufferArriveWhole() throws Exception {
    byte[] body = "0123456789abcdef".repeat(4_000).getBytes(StandardCharsets.UTF_8);
    for (int round = 0; round < 3; round++) {
      HttpResponse response =
          call(server.port(), HttpRequest.post("/echo", body), RESPONSE_TIMEOUT_MICROS);
      assertTrue(response.isOk());
      assertEquals(
          new String(body, StandardCharsets.UTF_8),
          new String(response.body(), StandardCharsets.UTF_8));
    }
    assertEquals(3, handled.size());
  }

  @Test
  void requestThatTimesOutGetsNoResponse() throws Exception {
    HttpResponse response = call(server.port(), HttpRequest.get("/silence"), 200_000);
    assertEquals(HttpResponse.NO_RESPONSE, response.status());
  }

  @Test
  void requestToClosedPortIsNotSent() throws Exception {
    int closedPort;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = socket.getLocalPort();
    }
    HttpResponse response = call(closedPort, HttpRequest.get("/"), RESPONSE_TIMEOUT_MICROS);
    assertEquals(HttpResponse.NOT_SENT, response.status());
  }

  @Test
  void malformedRequestIsAnsweredAndConnectionClosed() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(response.startsWith("HTTP/1.1 400 "), response);
      assertTrue(response.contains("\r\nConnection: close\r\n"), response);
      assertTrue(response.endsWith("{\"error\":\"bad request line\"}"), response);
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInOrder() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      String requests =
          "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
              + "POST /b HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2";
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
      String responses =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(
          responses.matches("(?s)HTTP/1.1 200 .*\r\n\r\n1HTTP/1.1 200 .*\r\n\r\n2"), responses);
    }
  }
}
