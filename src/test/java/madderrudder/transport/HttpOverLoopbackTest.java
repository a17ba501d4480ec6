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

/** The HTTP client and server on real sockets. */
@Timeout(60)
class HttpOverLoopbackTest {
  private static final long PATIENCE_MICROS = 20_000_000;
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final EventLoop loop = new EventLoop();
  private final List<HttpRequest> handled = new ArrayList<>();
  private AsynchronousChannelGroup group;
  private HttpClient client;
  private HttpServer server;

  @BeforeEach
  void serve() throws IOException {
    group = AsynchronousChannelGroup.withThreadPool(loop);
    client = new HttpClient(loop, group, 8);
    server = new HttpServer(loop, group, ANY, 8, this::handle);
    server.start();
    Thread thread = new Thread(loop::run, "event loop");
    thread.setDaemon(true);
    thread.start();
  }

  @AfterEach
  void stop() throws IOException {
    loop.shutdown();
    group.shutdownNow();
  }

  /** Echoes the body; never answers what is sent to /silence. */
  private void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    handled.add(request);
    if (!request.path().equals("/silence")) {
      answer.accept(HttpResponse.of(200, request.body()));
    }
  }

  private HttpResponse call(int port, HttpRequest request, long timeoutMicros) throws Exception {
    CompletableFuture<HttpResponse> response = new CompletableFuture<>();
    loop.execute(
        () -> client.call("127.0.0.1:" + port, request, timeoutMicros, response::complete));
    return response.get(30, TimeUnit.SECONDS);
  }

  @Test
  void bodiesLargerThanASocketsBufferArriveWhole() throws Exception {
    byte[] body = "0123456789abcdef".repeat(4_000).getBytes(StandardCharsets.UTF_8);
    for (int round = 0; round < 3; round++) {
      HttpResponse response = call(server.port(), HttpRequest.post("/echo", body), PATIENCE_MICROS);
      assertTrue(response.ok());
      assertEquals(
          new String(body, StandardCharsets.UTF_8),
          new String(response.body(), StandardCharsets.UTF_8));
    }
    assertEquals(3, handled.size());
  }

  @Test
  void aRequestThatIsNotAnsweredInTimeGetsNoResponse() throws Exception {
    HttpResponse response = call(server.port(), HttpRequest.get("/silence"), 200_000);
    assertEquals(HttpResponse.NO_RESPONSE, response.status());
  }

  @Test
  void aRequestToAClosedPortIsNotSent() throws Exception {
    int closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = socket.getLocalPort();
    }
    HttpResponse response = call(closed, HttpRequest.get("/"), PATIENCE_MICROS);
    assertEquals(HttpResponse.NOT_SENT, response.status());
  }

  @Test
  void aMalformedRequestIsAnsweredAndItsConnectionClosed() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
      assertTrue(answer.contains("\r\nConnection: close\r\n"), answer);
      assertTrue(answer.endsWith("{\"error\":\"bad request line\"}"), answer);
    }
  }

  @Test
  void requestsThatArriveTogetherAreAnsweredInOrder() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      String requests =
          "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1"
              + "POST /b HTTP/1.1\r\nContent-Length: 1\r\nConnection: close\r\n\r\n2";
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answer.matches("(?s)HTTP/1.1 200 .*\r\n\r\n1HTTP/1.1 200 .*\r\n\r\n2"), answer);
    }
  }
}
