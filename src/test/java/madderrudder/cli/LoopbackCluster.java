package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import madderrudder.config.SettingsTest;

/**
 * Three controllers as processes on loopback, each of a jar of its own, with a store, a cloud and
 * workers in this process.
 */
final class LoopbackCluster implements AutoCloseable {
  private static final List<String> MEMBERS = List.of("n-0", "n-1", "n-2");

  private final Path folder;
  private final Path operatorFile;
  private final LoopbackServers servers;
  private final HttpClient http = HttpClient.newHttpClient();
  private final Map<String, Integer> peerPorts = new LinkedHashMap<>();
  private final Map<String, String> urls = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final List<Path> logs = new ArrayList<>();
  private final Map<String, LoopbackWorker> workers = new ConcurrentHashMap<>();
  private final Predicate<String> endless;

  /** Everything that should not have happened, a line each. */
  final List<String> problems = new CopyOnWriteArrayList<>();

  /**
   * Starts store, cloud and owned machines, and no controller yet.
   *
   * @param folder holds settings and logs
   * @param operatorSettings the text of the operators' settings
   * @param endless selects the tasks that run until they are stopped
   */
  LoopbackCluster(
      Path folder, String operatorSettings, List<String> owned, Predicate<String> endless)
      throws IOException {
    this.folder = folder;
    this.endless = endless;
    operatorFile = Files.writeString(folder.resolve("operator.sexp"), operatorSettings);
    for (String member : MEMBERS) {
      urls.put(member, "http://127.0.0.1:" + LoopbackServers.freePort());
      peerPorts.put(member, LoopbackServers.freePort());
    }
    LoopbackCloud cloud = new LoopbackCloud(owned, this::startWorker);
    servers = new LoopbackServers(services -> cloud);
  }

  private void startWorker(String id, String zone, boolean spot) {
    LoopbackWorker worker = new LoopbackWorker(id, zone, spot, urls, endless, problems);
    workers.put(id, worker);
    worker.start();
  }

  /** The worker of a machine. */
  LoopbackWorker worker(String machine) {
    return workers.get(machine);
  }

  /** Starts a controller from a jar, and waits until it is healthy. */
  void start(String member, ControllerJar jar) throws Exception {
    Path settings = Files.writeString(folder.resolve(member + ".json"), settings(member));
    Path log = folder.resolve(member + "-" + logs.size() + ".log");
    logs.add(log);
    Process process =
        jar.start(
            log, "serve", "--operator", operatorFile.toString(), "--config", settings.toString());
    processes.put(member, process);
    await(member + " is healthy", () -> status(member, "GET", "/healthz", "") == 200);
  }

  /** Suspends a controller: it answers nothing, and its connections stay open. */
  void suspend(String member) throws Exception {
    String pid = Long.toString(processes.get(member).pid());
    int status = new ProcessBuilder("kill", "-STOP", pid).start().waitFor();
    if (status != 0) {
      fail("can't suspend " + member);
    }
  }

  /** Ends a controller at once. */
  void kill(String member) throws Exception {
    processes.remove(member).destroyForcibly().waitFor();
  }

  /** The controllers that were started and not killed. */
  List<String> running() {
    return List.copyOf(processes.keySet());
  }

  private String settings(String member) throws IOException {
    List<String> peers = new ArrayList<>();
    for (String peer : MEMBERS) {
      if (!peer.equals(member)) {
        peers.add(
            String.format(
                "{\"member\":\"%s\",\"zone\":\"east\",\"peer_addr\":\"127.0.0.1:%d\"}",
                peer, peerPorts.get(peer)));
      }
    }
    return SettingsTest.VALID_PLATFORM_SETTINGS
        .replace("\"member\":\"n-0\"", "\"member\":\"" + member + "\"")
        .replaceFirst("\"members\":\\[[^]]*]", "\"members\":[" + String.join(",", peers) + "]")
        .replace("127.0.0.1:8080", urls.get(member).substring("http://".length()))
        .replace("127.0.0.1:8081", "127.0.0.1:" + peerPorts.get(member))
        .replace("127.0.0.1:8443", servers.cloudAddress())
        .replace("127.0.0.1:2379", servers.storeAddress());
  }

  /** The answer's status; 0 if there is no answer. */
  int status(String member, String method, String path, String body) throws Exception {
    try {
      return LoopbackServers.call(http, method, urls.get(member) + path, body).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** The answer's body; empty if there is no answer. */
  String body(String member, String method, String path, String body) throws Exception {
    try {
      return LoopbackServers.call(http, method, urls.get(member) + path, body).body();
    } catch (IOException e) {
      return "";
    }
  }

  /** The store's answer to a range read of the keys with a prefix. */
  String stored(String prefix) throws Exception {
    String url = "http://" + servers.storeAddress() + "/store?under=" + prefix + "&most=100";
    return LoopbackServers.call(http, "GET", url, "").body();
  }

  /** Waits up to 90 s until a condition holds. */
  void await(String what, Callable<Boolean> condition) throws Exception {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(90);
    while (System.nanoTime() < untilNanos) {
      if (condition.call()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    fail("not within 90 s: " + what + "; logs:\n" + String.join("\n", logLines()));
  }

  /** The lines that all controllers have logged. */
  List<String> logLines() throws IOException {
    List<String> lines = new ArrayList<>();
    for (Path log : logs) {
      Files.readAllLines(log).forEach(line -> lines.add(log.getFileName() + ": " + line));
    }
    return lines;
  }

  @Override
  public void close() throws IOException {
    processes.values().forEach(process -> process.destroyForcibly().onExit().join());
    workers.values().forEach(LoopbackWorker::shutDown);
    servers.close();
  }
}
