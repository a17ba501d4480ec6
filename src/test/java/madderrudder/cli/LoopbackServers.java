package madderrudder.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.function.Function;
import madderrudder.sim.LoopbackServices;
import madderrudder.transport.EventLoop;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpServer;

/**
 * A store and a cloud that listen on loopback, so that packaged controllers can use them. Both run
 * on an event loop thread of their own.
 */
final class LoopbackServers implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 64;

  private final EventLoop loop = new EventLoop();
  private final AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
  private final HttpServer store;
  private final HttpServer cloud;

  /**
   * Starts the simulated store and a cloud.
   *
   * @param cloudHandler chooses the handler of the cloud; it runs on the event loop thread
   */
  LoopbackServers(Function<LoopbackServices, HttpHandler> cloudHandler) throws IOException {
    LoopbackServices services = new LoopbackServices(loop);
    store = listen(services.storeHandler());
    cloud = listen(cloudHandler.apply(services));
    loop.execute(
        () -> {
          store.start();
          cloud.start();
        });
    Thread thread = new Thread(loop::run, "loopback-servers");
    thread.setDaemon(true);
    thread.start();
  }

  private HttpServer listen(HttpHandler handler) throws IOException {
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return new HttpServer(loop, group, anyPort, MAX_CONNECTIONS, handler);
  }

  /** The address of the store, as in settings. */
  String storeAddress() throws IOException {
    return "127.0.0.1:" + store.port();
  }

  /** The address of the cloud, as in settings. */
  String cloudAddress() throws IOException {
    return "127.0.0.1:" + cloud.port();
  }

  /** Returns a port that was free when it was chosen. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** Sends a request and waits up to 5 s for the response. */
  static HttpResponse<String> call(HttpClient client, String method, String url, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(Duration.ofSeconds(5))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() throws IOException {
    loop.shutdown();
    group.shutdownNow();
  }
}
