import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small deployment on loopback: three controllers as processes of their own, started with the
 * command of the deploy file, and stand-ins for the state service, the cloud, workers and users.
 */
final class World implements AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  final List<String> members = List.of("bollard-0", "bollard-1", "bollard-2");
  final List<String> zones = List.of("tampere-a", "tampere-b");
  final Map<String, Machine> machines = new ConcurrentHashMap<>();
  final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
  final Set<String> failing = ConcurrentHashMap.newKeySet();
  final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
  final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4);
  double reportSeconds = 2;
  double leaseSeconds = 14;
  double gangWaitSeconds = 35;
  double gangPeerSeconds = 4;
  double cancelSeconds = 44;
  double limitCores = 72;
  double guaranteedCores = 32;
  int writesPerTransaction = 48;
  double writesPerSecond = 80;
  Checker checker;
  Gangs gangs;
  Store store;
  Cloud cloud;
  private final Path root;
  private final Path folder;
  private final BufferedWriter record;
  private final long beginNanos = System.nanoTime();
  private final Map<String, Integer> clientPorts = new LinkedHashMap<>();
  private final Map<String, Integer> peerPorts = new LinkedHashMap<>();

  /** The proxies between controllers, by sender and receiver. */
  final Map<String, Link> peerLinks = new LinkedHashMap<>();

  private final Map<String, Process> processes = new ConcurrentHashMap<>();
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();
  private final Set<String> healthy = ConcurrentHashMap.newKeySet();
  private final Set<String> meantToEnd = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  World(Path root, Path recordFile) throws IOException {
    this.root = root;
    folder = Files.createTempDirectory("review-2-");
    record = Files.newBufferedWriter(recordFile);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
  }

  static void sleep(long millis) {
    try {
      if (millis > 0) {
        Thread.sleep(millis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String jobOf(String task) {
    return task.substring(0, task.lastIndexOf('/'));
  }

  Map<String, Object> job(String task) {
    return jobs.get(jobOf(task));
  }

  boolean isGang(String task) {
    Map<String, Object> job = job(task);
    return job != null && "gang".equals(job.get("cut"));
  }

  /** So many machines fail the first task that they run, each once. */
  final AtomicInteger machinesToFail = new AtomicInteger();

  final Set<String> failedOnce = ConcurrentHashMap.newKeySet();

  /** Whether the task that begins on the machine now is one of those that fail. */
  synchronized boolean failsHere(Machine machine) {
    if (machinesToFail.get() <= 0 || !failedOnce.add(machine.id)) {
      return false;
    }
    machinesToFail.decrementAndGet();
    return true;
  }

  boolean fails(String task) {
    return failing.contains(jobOf(task));
  }

  double runSeconds(String task) {
    Double own = runSeconds.get(task);
    return own != null
        ? own
        : runSeconds.getOrDefault(jobOf(task), J.dec(job(task).get("reckon_s"), 5));
  }

  double seconds() {
    return (System.nanoTime() - beginNanos) / 1e9;
  }

  void note(String who, String what, Object... pairs) {
    StringBuilder line = new StringBuilder(String.format("%8.3f %s %s", seconds(), who, what));
    for (int i = 0; i < pairs.length; i += 2) {
      line.append(' ').append(pairs[i]).append('=').append(pairs[i + 1]);
    }
    synchronized (record) {
      try {
        record.write(line.toString());
        record.newLine();
        record.flush();
      } catch (IOException e) {
        if (!closed) {
          throw new UncheckedIOException(e);
        }
      }
    }
  }

  /** A free port below the range from which the system takes the ports of outgoing connections. */
  private static int freePort(Set<Integer> used) {
    Random random = new Random();
    while (true) {
      int port = 15_000 + random.nextInt(15_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
        if (used.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      } catch (IOException e) {
        // Another program has the port.
      }
    }
  }

  /** Starts the stand-ins; machines and controllers are started by the case. */
  void begin(int perPool) throws IOException {
    checker = new Checker(this);
    gangs = new Gangs(this);
    store = new Store(members, 200, writesPerSecond, writesPerTransaction);
    cloud = new Cloud(this, perPool, 4);
    Set<Integer> used = new HashSet<>();
    for (String member : members) {
      clientPorts.put(member, freePort(used));
      peerPorts.put(member, freePort(used));
    }
    for (String from : members) {
      for (String to : members) {
        if (!from.equals(to)) {
          peerLinks.put(from + ">" + to, new Link(peerPorts.get(to)));
        }
      }
    }
    Web.daemon("balancer", this::probe);
  }

  String clientAddress(String member) {
    return "127.0.0.1:" + clientPorts.get(member);
  }

  Link link(String from, String to) {
    return peerLinks.get(from + ">" + to);
  }

  private Map<String, Object> settings(String member) {
    List<Object> others = new ArrayList<>();
    for (String other : members) {
      if (!other.equals(member)) {
        others.add(
            J.of(
                "member", other, "zone", zones.get(members.indexOf(other) % 2), "peer_addr",
                "127.0.0.1:" + link(member, other).port));
      }
    }
    List<Object> teams = new ArrayList<>();
    for (String name : List.of("taitto-00", "taitto-01")) {
      teams.add(
          J.of(
              "name", name, "cpus", guaranteedCores, "cpus_max", limitCores, "gpus", 0.0,
              "gpus_max", 0.0));
    }
    return J.of(
        "member", member,
        "zone", zones.get(members.indexOf(member) % 2),
        "client_listen", clientAddress(member),
        "mesh_addr", "127.0.0.1:" + peerPorts.get(member),
        "members", others,
        "external",
            J.of(
                "cloud", "127.0.0.1:" + cloud.port(),
                "state", "127.0.0.1:" + store.port(member)),
        "deployment",
            J.of(
                "initial_size", 3,
                "zones", zones,
                "teams", teams,
                "objectives",
                    List.of(
                        J.of("kind", "wait", "class", "live-preview", "within_s", 40.0, "share",
                            0.8)),
                "workers",
                    J.of("report_s", reportSeconds, "lease_s", leaseSeconds, "gang_wait_s",
                        gangWaitSeconds, "gang_peer_s", gangPeerSeconds, "cancel_s",
                        cancelSeconds),
                "state",
                    J.of("rps", 200.0, "write_rps", writesPerSecond, "value_kb", 16.0, "txn_ops",
                        writesPerTransaction),
                "cloud", J.of("rps", 2.0, "list_lag_s", 4.0),
                "limits", J.of("cpu", 0.33, "memory_mb", 205.0, "max_sockets", 900),
                "clock_off_ms", 250.0));
  }

  /** Starts a controller with the command of the deploy file. */
  void start(String member) throws IOException {
    Path file = Files.writeString(folder.resolve(member + ".json"), J.text(settings(member)));
    String run = "";
    for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
      if (line.startsWith("run")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    List<String> command = new ArrayList<>(Arrays.asList(run.trim().split(" +")));
    command.add(file.toString());
    int number = starts.merge(member, 1, Integer::sum);
    File log = folder.resolve(member + "-" + number + ".log").toFile();
    ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
    builder.redirectErrorStream(true).redirectOutput(log);
    Process process = builder.start();
    meantToEnd.remove(member);
    processes.put(member, process);
    note("operator", "start", "member", member, "pid", process.pid());
    process
        .onExit()
        .thenAccept(
            ended -> {
              if (!meantToEnd.contains(member) && !closed) {
                note("operator", "ENDED BY ITSELF", "member", member, "exit", ended.exitValue());
                checker.violations.add("crash: " + member + " ended by itself");
              }
            });
  }

  void startAll() throws IOException {
    for (String member : members) {
      start(member);
    }
  }

  void kill(String member) {
    meantToEnd.add(member);
    note("operator", "kill", "member", member);
    Process process = processes.get(member);
    process.destroyForcibly();
    try {
      process.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  void signal(String member, String signal) {
    note("operator", signal, "member", member);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(member).pid()))
          .start()
          .waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** The controller that the state service names as leader, or null. */
  String leader() {
    Object record = store.peek("lead/now");
    return record == null ? null : (String) ((Map<?, ?>) record).get("member");
  }

  List<String> followers() {
    String leader = leader();
    return members.stream().filter(member -> !member.equals(leader)).toList();
  }

  private void probe() {
    Web.Client client = new Web.Client();
    while (!closed) {
      for (String member : members) {
        if (processes.containsKey(member)) {
          int status = client.call(clientAddress(member), "GET", "/healthz", null, 1000).status();
          if (status == 200) {
            healthy.add(member);
          } else {
            healthy.remove(member);
          }
        }
      }
      sleep(500);
    }
  }

  boolean isHealthy(String member) {
    return healthy.contains(member);
  }

  String anyNode(Random random) {
    List<String> choice = new ArrayList<>(healthy);
    if (choice.isEmpty()) {
      choice = members;
    }
    return choice.get(random.nextInt(choice.size()));
  }

  interface Condition {
    boolean holds();
  }

  /** Waits for a condition; the case can't run if it does not hold in time. */
  void await(String what, double seconds, Condition condition) {
    if (!within(seconds, condition)) {
      throw new CannotRun("not within " + seconds + " s: " + what);
    }
    note("case", "reached", "what", what);
  }

  boolean within(double seconds, Condition condition) {
    long endNanos = System.nanoTime() + (long) (seconds * 1e9);
    while (System.nanoTime() < endNanos) {
      if (condition.holds()) {
        return true;
      }
      sleep(20);
    }
    return condition.holds();
  }

  static final class CannotRun extends RuntimeException {
    private static final long serialVersionUID = 1;

    CannotRun(String message) {
      super(message);
    }
  }

  // What users do.

  Map<String, Object> newJob(String id, String cut, int strokes, double cores, double reckon) {
    Map<String, Object> job =
        J.of(
            "id", id, "rig", "service".equals(cut) ? "live-preview" : "engrave-batch", "crew",
            "taitto-00", "cut", cut, "rank", "service".equals(cut) ? "production" : "standard",
            "strokes", strokes, "cores", cores, "accelerators", 0.0, "mem_gb", cores, "hull",
            "img-01", "image_gb", 0.7, "builds", null, "berth", null, "one_zone", false, "apart",
            false, "driftwood", false, "reckon_s", reckon, "mark_s", 0.0, "stow_s", 0.0, "tide_s",
            null);
    return job;
  }

  Web.Answer submit(Web.Client client, String member, Map<String, Object> job) {
    String id = (String) job.get("id");
    jobs.put(id, job);
    return ask(client, member, id, true, "POST", "/v1/jobs", J.text(job), 5000);
  }

  Web.Answer poll(Web.Client client, String member, String id) {
    return ask(client, member, id, false, "GET", "/v1/jobs/" + id, null, 2000);
  }

  Web.Answer withdraw(Web.Client client, String member, String id) {
    checker.cancelAsked(id);
    return ask(client, member, id, false, "POST", "/v1/jobs/" + id + "/withdraw", "", 5000);
  }

  private Web.Answer ask(
      Web.Client client,
      String member,
      String id,
      boolean submission,
      String method,
      String path,
      String body,
      long timeoutMillis) {
    long sent = System.nanoTime();
    Web.Answer answer = client.call(clientAddress(member), method, path, body, timeoutMillis);
    note("user", method + " " + path, "at", member, "status", answer.status(), "body",
        answer.body(), "ms", (System.nanoTime() - sent) / 1_000_000);
    checker.answered(id, submission, answer.status(), answer.body(), sent);
    return answer;
  }

  /** Submits a job until it is accepted. */
  boolean submitUntilAccepted(Map<String, Object> job, double seconds) {
    Web.Client client = new Web.Client();
    Random random = new Random();
    boolean accepted =
        within(
            seconds,
            () -> {
              int status = submit(client, anyNode(random), job).status();
              if (status != 200 && status != 201) {
                sleep(1000);
              }
              return status == 200 || status == 201;
            });
    client.closeAll();
    return accepted;
  }

  List<String> logTail(String text) throws IOException {
    List<String> found = new ArrayList<>();
    try (var files = Files.list(folder)) {
      for (Path file : files.filter(f -> f.toString().endsWith(".log")).sorted().toList()) {
        for (String line : Files.readAllLines(file)) {
          if (line.contains(text)) {
            found.add(file.getFileName() + ": " + line);
          }
        }
      }
    }
    return found;
  }

  private void endAll() {
    closed = true;
    for (Map.Entry<String, Process> entry : processes.entrySet()) {
      entry.getValue().destroyForcibly();
    }
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") != null) {
      return;
    }
    try (var files = Files.walk(folder)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // The folder is gone already.
    }
  }

  @Override
  public void close() {
    endAll();
  }

  interface Course {
    /** Returns whether the rule held. */
    boolean run(World world) throws Exception;
  }

  /** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if it could not run. */
  static void main(String[] args, Course course) {
    Web.daemon(
        "limit",
        () -> {
          sleep(118_000);
          System.err.println("out of time");
          System.exit(2);
        });
    int status;
    try (World world = new World(Path.of(args[0]), Path.of(args[1]))) {
      try {
        status = course.run(world) ? 0 : 1;
      } catch (CannotRun e) {
        world.note("case", "cannot run", "why", e.getMessage());
        System.err.println(e.getMessage());
        status = 2;
      }
      world.note("case", "ends", "status", status, "broken", world.checker.violations);
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    System.exit(status);
  }
}
