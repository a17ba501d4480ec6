package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.ZipEntry;
import madderrudder.config.SettingsTest;
import madderrudder.sim.LoopbackServices;
import madderrudder.transport.EventLoop;
import madderrudder.transport.HttpServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The packaged program, as a process of its own, on real sockets; store and cloud are simulated on
 * loopback.
 */
@Timeout(60)
class PackagedProgramIT {
  private static final Path JAR = Path.of("target", "madderrudder.jar");
  private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

  @TempDir Path folder;

  private static Process program(Path errors, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA.toString(), "-jar", JAR.toString()));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command)
        .redirectError(errors.toFile())
        .redirectOutput(errors.toFile())
        .start();
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /** The controller starts on a third of a core: what it does not need is not in its jar. */
  @Test
  void toolsArePackagedApartFromTheController() throws Exception {
    try (JarFile jar = new JarFile(JAR.toFile())) {
      List<String> unexpected =
          jar.stream()
              .map(ZipEntry::getName)
              .filter(
                  name ->
                      name.startsWith("madderrudder/tools/")
                          || name.startsWith("madderrudder/replay/")
                          || name.startsWith("picocli/")
                          || name.startsWith("org/jfree/")
                          || (name.startsWith("org/apache/commons/")
                              && !name.startsWith("org/apache/commons/cli/")
                              && name.endsWith(".class")))
              .toList();
      assertEquals(List.of(), unexpected);
    }
    Path history = folder.resolve("drawn.csv");
    Path page = folder.resolve("page.html");
    Path output = folder.resolve("output");
    assertEquals(
        0,
        tool(
            output,
            "history",
            "generate",
            "--runs",
            "2000",
            "--format",
            "csv",
            "--out",
            history.toString()));
    assertEquals(2_001, Files.readAllLines(history).size());
    assertEquals(
        0,
        tool(
            output,
            "estimate",
            "replay",
            "--strict",
            "--history",
            history.toString(),
            "--html",
            page.toString()),
        Files.readString(output));
    assertTrue(
        Files.readString(output).contains("2000 lines, 0 malformed")
            || Files.readString(output).contains("2001 lines, 0 malformed"),
        Files.readString(output));
    assertTrue(Files.readString(page).contains("<svg"));
    assertEquals(
        0,
        tool(
            output,
            "check",
            "--config",
            Files.writeString(folder.resolve("good.json"), SettingsTest.GOOD).toString()),
        Files.readString(output));
  }

  private static int tool(Path output, String... arguments) throws Exception {
    List<String> command = new ArrayList<>(List.of("sh", "bin/madderrudder"));
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return process.exitValue();
  }

  @Test
  void invalidSettingsAreNamedAndEndTheProgram() throws Exception {
    Path settings =
        Files.writeString(
            folder.resolve("bad.json"), SettingsTest.GOOD.replace("\"member\":\"n-0\",", ""));
    Path errors = folder.resolve("errors");
    Process process = program(errors, "serve", "--config", settings.toString());
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    assertTrue(
        Files.readString(errors).contains("member: field member is missing"),
        Files.readString(errors));
  }

  @Test
  void servesUsersAndWorkersOverRealSockets() throws Exception {
    EventLoop loop = new EventLoop();
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
    LoopbackServices services = new LoopbackServices(loop);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    HttpServer store = new HttpServer(loop, group, any, 64, services.storeHandler());
    HttpServer cloud = new HttpServer(loop, group, any, 64, services.cloudHandler());
    loop.execute(
        () -> {
          store.start();
          cloud.start();
        });
    Thread simulated = new Thread(loop::run, "simulated-services");
    simulated.setDaemon(true);
    simulated.start();
    int port = freePort();
    Path settings =
        Files.writeString(
            folder.resolve("good.json"),
            SettingsTest.GOOD
                .replace("127.0.0.1:8080", "127.0.0.1:" + port)
                .replace("127.0.0.1:8081", "127.0.0.1:" + freePort())
                .replace("127.0.0.1:8443", "127.0.0.1:" + cloud.port())
                .replace("127.0.0.1:2379", "127.0.0.1:" + store.port()));
    Process process = program(folder.resolve("log"), "serve", "--config", settings.toString());
    try {
      String base = "http://127.0.0.1:" + port;
      awaitHealthy(base);
      String job =
          "{\"id\":\"req-000001\",\"rig\":\"a\",\"crew\":\"alto\",\"cut\":\"array\",\"rank\":\"standard\","
              + "\"strokes\":2,\"cores\":2.0,\"accelerators\":0.0,\"mem_gb\":4.0,\"hull\":\"i\",\"image_gb\":1.0,"
              + "\"one_zone\":false,\"apart\":false,\"driftwood\":false,\"reckon_s\":5.0,\"mark_s\":0.0,\"stow_s\":0.0}";
      assertEquals(201, call("POST", base + "/v1/jobs", job).statusCode());
      assertEquals(200, call("POST", base + "/v1/jobs", job).statusCode());
      assertEquals(
          422,
          call("POST", base + "/v1/jobs", job.replace("000001", "000002").replace("alto", "solo"))
              .statusCode());
      assertEquals(400, call("POST", base + "/v1/jobs", "[]").statusCode());
      assertEquals(
          400,
          call(
                  "POST",
                  base + "/v1/jobs",
                  job.replace("000001", "000004").replace("\"apart\":false,", ""))
              .statusCode());
      assertEquals(400, call("POST", base + "/v1/jobs", "x".repeat(70_000)).statusCode());
      assertEquals(404, call("GET", base + "/v1/jobs/req-000009", "").statusCode());
      assertEquals(404, call("GET", base + "/nowhere", "").statusCode());
      assertEquals(405, call("DELETE", base + "/v1/jobs", "").statusCode());
      assertTrue(call("GET", base + "/v1/jobs/req-000001", "").body().contains("\"pending\""));
      String metrics = call("GET", base + "/metrics", "").body();
      assertTrue(
          metrics.contains("\"member\":\"n-0\"")
              && metrics.contains("\"submission\":{\"count\":5,"),
          metrics);
      assertTrue(
          call("POST", base + "/v1/jobs/req-000001/withdraw", "").body().contains("\"aborted\""));
      assertTrue(call("GET", base + "/v1/jobs/req-000001", "").body().contains("\"aborted\""));
      assertEquals(
          201,
          call(
                  "POST",
                  base + "/v1/jobs",
                  job.replace("000001", "000003").replace("\"strokes\":2", "\"strokes\":1"))
              .statusCode());
      runOneTask(base, "req-000003/0");
      Path output = folder.resolve("output");
      Path history = folder.resolve("history.jsonl");
      assertEquals(
          0,
          tool(
              output,
              "history",
              "export",
              "--from",
              "http://127.0.0.1:1," + base,
              "--out",
              history.toString()),
          Files.readString(output));
      String line = Files.readString(history);
      assertTrue(
          line.contains("\"job\":\"req-000003\",\"task\":0")
              && line.contains("\"guess_s\":5.0")
              && line.contains("\"end\":\"done\"")
              && line.lines().count() == 1,
          line);
      assertEquals(
          0,
          tool(
              output,
              "estimate",
              "--history",
              history.toString(),
              "--class",
              "a",
              "--team",
              "alto",
              "--image",
              "i",
              "--cpus",
              "2",
              "--memory-gb",
              "4",
              "--guess",
              "5"),
          Files.readString(output));
      assertTrue(Files.readString(output).contains("work: 1 runs"), Files.readString(output));
      assertEquals(1, tool(output, "history", "export", "--from", "http://127.0.0.1:1"));
      assertTrue(
          Files.readString(output).startsWith("madderrudder: no controller answers as the leader"),
          Files.readString(output));
    } finally {
      process.destroyForcibly().waitFor();
      loop.shutdown();
      group.shutdownNow();
    }
  }

  /**
   * Acts as a worker: gets the command to start the task, runs it for a moment, and gets the
   * command to forget it. Its heartbeats carry the highest fencing token it was answered: a worker
   * without is one that no reply reaches, and gets no task.
   */
  private static void runOneTask(String base, String task) throws Exception {
    String trim = "";
    Pattern start =
        Pattern.compile("\"order\":\"start\",\"stroke\":\"" + task + "\",\"launch\":([0-9]+)");
    Pattern token = Pattern.compile("\"helm\":([0-9]+)");
    String launch = "";
    String seen = "0";
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int knot = 1; System.nanoTime() < until; knot++) {
      String report =
          "{\"vessel\":\"m-900001\",\"addr\":\"\",\"build\":\"big\",\"berth\":\"east\",\"driftwood\":false,"
              + "\"watch\":1,\"knot\":"
              + knot
              + ",\"helm\":"
              + seen
              + ",\"recall_s\":null,\"strokes\":["
              + (trim.isEmpty()
                  ? ""
                  : "{\"stroke\":\"" + task + "\",\"launch\":" + launch + "," + trim + "}")
              + "]}";
      String answer = call("POST", base + "/hello", report).body();
      Matcher answered = token.matcher(answer);
      seen = answered.find() ? answered.group(1) : seen;
      Matcher command = start.matcher(answer);
      if (command.find()) {
        launch = command.group(1);
        trim = "\"trim\":\"running\"";
      } else if (trim.contains("running")) {
        trim = "\"trim\":\"ended\",\"wake\":\"done\"";
      } else if (answer.contains("\"reap\"")) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new AssertionError(task + " was not run in time, but " + trim);
  }

  private static void awaitHealthy(String base) throws Exception {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < until) {
      try {
        if (call("GET", base + "/healthz", "").statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // Not listening yet.
        TimeUnit.MILLISECONDS.sleep(100);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new AssertionError("not healthy in time");
  }

  private static HttpResponse<String> call(String method, String uri, String body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(uri))
            .timeout(Duration.ofSeconds(5))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body, StandardCharsets.UTF_8))
            .build();
    return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
  }
}
