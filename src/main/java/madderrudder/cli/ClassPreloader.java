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
 * The {@code rehearse} command: loads the classes of the controller and of its libraries and sends
 * one HTTP request over loopback. The build records a class-data sharing (CDS) archive from this
 * run, which then holds the classes that a controller needs to start. On a third of a core the
 * archive saves most of the startup time.
 */
final class ClassPreloader {
  private static final Logger LOG = LoggerFactory.getLogger(ClassPreloader.class);
  private static final long REQUEST_TIMEOUT_MICROS = 5_000_000;

  /** Path prefixes in the jar of the packages of the controller and its libraries. */
  private static final List<String> PACKAGE_PATHS =
      List.of("madderrudder/", "com/fasterxml/jackson/core/", "org/slf4j/", "org/HdrHistogram/");

  private static final String CLASS_SUFFIX = ".class";

  private ClassPreloader() {}

  /** Runs the command and returns the exit status; a failure is printed to the stream. */
  static int run(PrintStream err) {
    try {
      loadClasses();
      exerciseJsonAndHttp();
      return 0;
    } catch (IOException | URISyntaxException | MalformedMessageException e) {
      err.println("madderrudder: rehearse failed: " + e);
      return 1;
    }
  }

  private static void loadClasses() throws IOException, URISyntaxException {
    Path jarFile =
        Path.of(ClassPreloader.class.getProtectionDomain().getCodeSource().getLocation().toURI());
    try (JarFile jar = new JarFile(jarFile.toFile())) {
      long loaded =
          jar.stream()
              .map(entry -> entry.getName())
              .filter(name -> name.endsWith(CLASS_SUFFIX))
              .filter(name -> PACKAGE_PATHS.stream().anyMatch(name::startsWith))
              .filter(name -> tryLoad(className(name)))
              .count();
      LOG.debug("loaded {} classes", loaded);
    }
  }

  private static String className(String entryName) {
    return entryName.substring(0, entryName.length() - CLASS_SUFFIX.length()).replace('/', '.');
  }

  private static boolean tryLoad(String name) {
    try {
      Class.forName(name, false, ClassPreloader.class.getClassLoader());
      return true;
    } catch (ClassNotFoundException | LinkageError e) {
      // Optional parts of a library may need classes that are not in the jar. The controller
      // does not use these parts.
      return false;
    }
  }

  private static void exerciseJsonAndHttp() throws IOException, MalformedMessageException {
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
              REQUEST_TIMEOUT_MICROS,
              response -> loop.shutdown());
        });
    loop.run();
    group.shutdownNow();
  }
}
