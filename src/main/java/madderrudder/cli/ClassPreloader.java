package madderrudder.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.jar.JarFile;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.EventLoop;
import madderrudder.transport.HttpClient;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.HttpServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Loads every class of the program and sends itself one request over loopback, so that the
 * class-data archive that the build makes of the run holds all that a controller needs to start. On
 * a third of a core this saves most of the time of the start.
 */
final class ClassPreloader {
  private static final Logger LOG = LoggerFactory.getLogger(ClassPreloader.class);
  private static final long TIMEOUT_MICROS = 5_000_000;

  /** The packages of the controller and its libraries, as paths in the jar. */
  private static final List<String> PACKAGES =
      List.of("madderrudder/", "com/fasterxml/jackson/core/", "org/slf4j/", "org/HdrHistogram/");

  private static final String CLASS_SUFFIX = ".class";

  private ClassPreloader() {}

  /** Loads the classes and returns the exit status. */
  static int run(PrintStream err) {
    try {
      loadClasses();
      exerciseTransport();
      return 0;
    } catch (IOException | URISyntaxException | MalformedMessageException e) {
      err.println("madderrudder: rehearsal failed: " + e);
      return 1;
    }
  }

  private static void loadClasses() throws IOException, URISyntaxException {
    Path self =
        Path.of(ClassPreloader.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (JarFile jar = new JarFile(self.toFile())) {
      long loaded =
          jar.stream()
              .map(entry -> entry.getName())
              .filter(name -> name.endsWith(CLASS_SUFFIX))
              .filter(name -> PACKAGES.stream().anyMatch(name::startsWith))
              .filter(name -> load(className(name)))
              .count();
      LOG.debug("{} classes loaded", loaded);
    }
  }

  private static String className(String entry) {
    return entry.substring(0, entry.length() - CLASS_SUFFIX.length()).replace('/', '.');
  }

  private static boolean load(String name) {
    try {
      Class.forName(name, false, ClassPreloader.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // Optional parts of a library may lack what they build on; a controller does not use them.
      return false;
    }
  }

  private static void exerciseTransport() throws IOException, MalformedMessageException {
    Json.readObject("{\"a\":[1,2.5,\"b\",true,null]}".getBytes(StandardCharsets.UTF_8)).render();
    EventLoop loop = new EventLoop();
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
    HttpServer server =
        new HttpServer(
            loop,
            group,
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            4,
            (request, answer) -> answer.accept(HttpResponse.of(200, request.body())));
    String address = "127.0.0.1:" + server.port();
    HttpClient client = new HttpClient(loop, group, 4);
    loop.execute(
        () -> {
          server.start();
          client.call(
              address,
              HttpRequest.post("/", Json.error("none")),
              TIMEOUT_MICROS,
              response -> loop.shutdown());
        });
    loop.run();
    group.shutdownNow();
  }
}
