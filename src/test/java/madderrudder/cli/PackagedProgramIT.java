package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.jar.JarFile;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.ZipEntry;
import madderrudder.config.SettingsTest;
import madderrudder.sim.LoopbackServices;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the packaged program as a separate process on real sockets, with a simulated store and cloud
 * on loopback. Guards against faults that only the packaged jars or real input and output show.
 */
@Timeout(60)
class PackagedProgramIT {
  private static final ControllerJar JAR = new ControllerJar(Path.of("target", "madderrudder.jar"));

  @TempDir Path directory;

  /** The controller has to start on a third of a core, so its jar holds none of the tools. */
  @Test
  void toolsArePackagedSeparatelyFromController() throws Exception {
    try (JarFile jar = new JarFile(JAR.path().toFile())) {
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
    Path history = directory.resolve("drawn.csv");
    Path page = directory.resolve("page.html");
    Path output = directory.resolve("output");
    assertEquals(
        0,
        runCommand(
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
        runCommand(
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
        runCommand(
            output,
            "check",
            "--config",
            Files.writeString(directory.resolve("good.json"), SettingsTest.VALID_PLATFORM_SETTINGS)
                .toString()),
        Files.readString(output));
  }

  private static int runCommand(Path output, String... arguments) throws Exception {
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
  void invalidSettingsAreReportedAndEndProgram() throws Exception {
    Path settings =
        Files.writeString(
            directory.resolve("bad.json"),
            SettingsTest.VALID_PLATFORM_SETTINGS.replace("\"member\":\"n-0\",", ""));
    Path errors = directory.resolve("errors");
    Process process = JAR.start(errors, "serve", "--config", settings.toString());
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    assertEquals(1, process.exitValue());
    assertTrue(
        Files.readString(errors).contains("member: field member is missing"),
        Files.readString(errors));
  }

  @Test
  void servesUsersAndWorkersOverRealSockets() throws Exception {
    LoopbackServers servers = new LoopbackServers(LoopbackServices::cloudHandler);
    int port = LoopbackServers.freePort();
    Path settings =
        Files.writeString(
            directory.resolve("good.json"),
            SettingsTest.VALID_PLATFORM_SETTINGS
                .replace("127.0.0.1:8080", "127.0.0.1:" + port)
                .replace("127.0.0.1:8081", "127.0.0.1:" + LoopbackServers.freePort())
                .replace("127.0.0.1:8443", servers.cloudAddress())
                .replace("127.0.0.1:2379", servers.storeAddress()));
    Process process = JAR.start(directory.resolve("log"), "serve", "--config", settings.toString());
    try {
      String baseUrl = "http://127.0.0.1:" + port;
      awaitHealthy(baseUrl);
      String job =
          "{\"id\":\"req-000001\",\"rig\":\"a\",\"crew\":\"alto\",\"cut\":\"array\",\"rank\":\"standard\","
              + "\"strokes\":2,\"cores\":2.0,\"accelerators\":0.0,\"mem_gb\":4.0,\"hull\":\"i\",\"image_gb\":1.0,"
              + "\"one_zone\":false,\"apart\":false,\"driftwood\":false,\"reckon_s\":5.0,\"mark_s\":0.0,\"stow_s\":0.0}";
      assertEquals(201, call("POST", baseUrl + "/v1/jobs", job).statusCode());
      assertEquals(200, call("POST", baseUrl + "/v1/jobs", job).statusCode());
      assertEquals(
          422,
          call(
                  "POST",
                  baseUrl + "/v1/jobs",
                  job.replace("000001", "000002").replace("alto", "solo"))
              .statusCode());
      assertEquals(400, call("POST", baseUrl + "/v1/jobs", "[]").statusCode());
      assertEquals(
          400,
          call(
                  "POST",
                  baseUrl + "/v1/jobs",
                  job.replace("000001", "000004").replace("\"apart\":false,", ""))
              .statusCode());
      assertEquals(400, call("POST", baseUrl + "/v1/jobs", "x".repeat(70_000)).statusCode());
      assertEquals(404, call("GET", baseUrl + "/v1/jobs/req-000009", "").statusCode());
      assertEquals(404, call("GET", baseUrl + "/nowhere", "").statusCode());
      assertEquals(405, call("DELETE", baseUrl + "/v1/jobs", "").statusCode());
      assertTrue(call("GET", baseUrl + "/v1/jobs/req-000001", "").body().contains("\"pending\""));
      String metrics = call("GET", baseUrl + "/metrics", "").body();
      assertTrue(
          metrics.contains("\"member\":\"n-0\"")
              && metrics.contains("\"submission\":{\"count\":5,"),
          metrics);
      assertTrue(
          call("POST", baseUrl + "/v1/jobs/req-000001/withdraw", "")
              .body()
              .contains("\"aborted\""));
      assertTrue(call("GET", baseUrl + "/v1/jobs/req-000001", "").body().contains("\"aborted\""));
      assertEquals(
          201,
          call(
                  "POST",
                  baseUrl + "/v1/jobs",
                  job.replace("000001", "000003").replace("\"strokes\":2", "\"strokes\":1"))
              .statusCode());
      runOneTask(baseUrl, "req-000003/0");
      Path output = directory.resolve("output");
      Path history = directory.resolve("history.jsonl");
      assertEquals(
          0,
          runCommand(
              output,
              "history",
              "export",
              "--from",
              "http://127.0.0.1:1," + baseUrl,
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
          runCommand(
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
      assertEquals(1, runCommand(output, "history", "export", "--from", "http://127.0.0.1:1"));
      assertTrue(
          Files.readString(output).startsWith("madderrudder: no controller answers as the leader"),
          Files.readString(output));
    } finally {
      process.destroyForcibly().waitFor();
      servers.close();
    }
  }

  /**
   * Acts as a worker: receives the command to start the task, reports it as running and then as
   * done, and returns when it receives the command to forget it. Each heartbeat carries the fencing
   * token of the latest reply. The controller takes a worker without a token for one that its
   * replies do not reach, and gives it no task.
   */
  private static void runOneTask(String baseUrl, String task) throws Exception {
    String taskFields = "";
    Pattern startCommand =
        Pattern.compile("\"order\":\"start\",\"stroke\":\"" + task + "\",\"launch\":([0-9]+)");
    Pattern tokenField = Pattern.compile("\"helm\":([0-9]+)");
    String attempt = "";
    String fencingToken = "0";
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    for (int sequence = 1; System.nanoTime() < deadlineNanos; sequence++) {
      String heartbeat =
          "{\"vessel\":\"m-900001\",\"addr\":\"\",\"build\":\"big\",\"berth\":\"east\",\"driftwood\":false,"
              + "\"watch\":1,\"knot\":"
              + sequence
              + ",\"helm\":"
              + fencingToken
              + ",\"recall_s\":null,\"strokes\":["
              + (taskFields.isEmpty()
                  ? ""
                  : "{\"stroke\":\"" + task + "\",\"launch\":" + attempt + "," + taskFields + "}")
              + "]}";
      String answer = call("POST", baseUrl + "/hello", heartbeat).body();
      Matcher tokenMatch = tokenField.matcher(answer);
      fencingToken = tokenMatch.find() ? tokenMatch.group(1) : fencingToken;
      Matcher commandMatch = startCommand.matcher(answer);
      if (commandMatch.find()) {
        attempt = commandMatch.group(1);
        taskFields = "\"trim\":\"running\"";
      } else if (taskFields.contains("running")) {
        taskFields = "\"trim\":\"ended\",\"wake\":\"done\"";
      } else if (answer.contains("\"reap\"")) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new AssertionError(
        task + " was not completed and forgotten in time; last reported as: " + taskFields);
  }

  private static void awaitHealthy(String baseUrl) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < deadlineNanos) {
      try {
        if (call("GET", baseUrl + "/healthz", "").statusCode() == 200) {
          return;
        }
      } catch (IOException e) {
        // The controller does not listen yet.
        TimeUnit.MILLISECONDS.sleep(100);
      }
      TimeUnit.MILLISECONDS.sleep(50);
    }
    throw new AssertionError("the controller was not healthy in time");
  }

  private static HttpResponse<String> call(String method, String uri, String body)
      throws Exception {
    return LoopbackServers.call(HttpClient.newHttpClient(), method, uri, body);
  }
}
