package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import madderrudder.sim.LoopbackServices;
import madderrudder.transport.EventLoop;
import madderrudder.transport.HttpServer;

/**
 * Three controllers as processes on loopback, each of a jar of its own, with a store, a cloud and
 * workers in this process.
 */
final class LoopbackCluster implements AutoCloseable {
  private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");
  private static final List<String> MEMBERS = List.of("n-0", "n-1", "n-2");

  private final Path folder;
  private final Path operatorFile;
  private final EventLoop loop = new EventLoop();
  private final AsynchronousChannelGroup group = AsynchronousChannelGroup.withThreadPool(loop);
  private final HttpServer store;
  private final HttpServer cloud;
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
      urls.put(member, "http://127.0.0.1:" + freePort());
      peerPorts.put(member, freePort());
    }
    LoopbackServices services = new LoopbackServices(loop);
    LoopbackCloud[] provider = new LoopbackCloud[1];
    provider[0] =
        new LoopbackCloud(owned, id -> startWorker(id, provider[0].zone(id), provider[0].spot(id)));
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    store = new HttpServer(loop, group, any, 64, services.storeHandler());
    cloud = new HttpServer(loop, group, any, 64, provider[0]);
    loop.execute(
        () -> {
          store.start();
          cloud.start();
        });
    Thread simulated = new Thread(loop::run, "loopback-services");
    simulated.setDaemon(true);
    simulated.start();
    owned.forEach(id -> startWorker(id, "east", false));
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
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
  void start(String member, Path jar) throws Exception {
    Path settings = Files.writeString(folder.resolve(member + ".json"), settings(member));
    Path log = folder.resolve(member + "-" + logs.size() + ".log");
    logs.add(log);
    processes.put(
        member,
        new ProcessBuilder(
                JAVA.toString(),
                "-jar",
                jar.toString(),
                "serve",
                "--operator",
                operatorFile.toString(),
                "--config",
                settings.toString())
            .redirectErrorStream(true)
            .redirectOutput(log.toFile())
            .start());
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
    return """
        {"member":"%s","zone":"east","client_listen":"%s","mesh_addr":"127.0.0.1:%d",
         "members":[%s],"external":{"cloud":"127.0.0.1:%d","state":"127.0.0.1:%d"},
         "deployment":{"zones":["east","west"],
          "teams":[{"name":"alto","cpus":32.0,"cpus_max":72.0,"gpus":0.0,"gpus_max":0.0}],
          "workers":{"report_s":2.0,"lease_s":14.0,"gang_wait_s":35.0,"gang_peer_s":4.0,"cancel_s":44.0},
          "state":{"rps":200.0,"write_rps":80.0,"value_kb":16.0,"txn_ops":48},
          "cloud":{"rps":2.0,"list_lag_s":4.0},"limits":{"max_sockets":900},"clock_off_ms":250.0}}
        """
        .formatted(
            member,
            urls.get(member).substring("http://".length()),
            peerPorts.get(member),
            String.join(",", peers),
            cloud.port(),
            store.port());
  }

  /** The answer's status; 0 if there is no answer. */
  int status(String member, String method, String path, String body) throws Exception {
    try {
      return call(urls.get(member) + path, method, body).statusCode();
    } catch (IOException e) {
      return 0;
    }
  }

  /** The answer's body; empty if there is no answer. */
  String body(String member, String method, String path, String body) throws Exception {
    try {
      return call(urls.get(member) + path, method, body).body();
    } catch (IOException e) {
      return "";
    }
  }

  /** The store's answer to a range read of the keys with a prefix. */
  String stored(String prefix) throws Exception {
    String url = "http://127.0.0.1:" + store.port() + "/store?under=" + prefix + "&most=100";
    return call(url, "GET", "").body();
  }

  private HttpResponse<String> call(String url, String method, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(Duration.ofSeconds(5))
            .version(HttpClient.Version.HTTP_1_1)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    return http.send(request, HttpResponse.BodyHandlers.ofString());
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
    loop.shutdown();
    group.shutdownNow();
  }
}
