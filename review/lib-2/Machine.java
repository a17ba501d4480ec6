import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A machine with its worker, as the protocol describes it. */
final class Machine {
  private static final class Task {
    final String id;
    final long launch;
    String trim = "fetching";
    String wake;
    boolean stored;
    boolean held;
    long changes;

    Task(String id, long launch) {
      this.id = id;
      this.launch = launch;
    }

    boolean active() {
      return !trim.equals("ended");
    }
  }

  final String id;
  final Cloud.Type type;
  final String zone;
  final boolean spot;
  private final World world;
  private Web.Server server;
  private final Random random;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final List<Runnable> deferred = new ArrayList<>();
  private final Web.Client client = new Web.Client();
  private long watch = 1;
  private long knot;
  private long helm;
  private long leaseFromNanos;
  private long dueNanos;
  private boolean gone;
  private boolean hung;
  private String node;
  volatile double recallSeconds = -1;

  /** Answers and direct commands to the machine are lost, its reports arrive. */
  volatile boolean deaf;

  /** The machine reaches no controller, direct commands reach it. */
  volatile boolean mute;

  /** A faulty machine: its tasks fail after running for this many seconds; negative if sound. */
  volatile double failsAfterSeconds = -1;

  /** Controllers that the machine does not reach. */
  final Set<String> cutFrom = java.util.concurrent.ConcurrentHashMap.newKeySet();

  /** Milliseconds by which direct commands are held up; 0 for none. */
  volatile long commandsLateMillis;

  Machine(World world, String id, Cloud.Type type, String zone, boolean spot) {
    this.world = world;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    random = new Random(id.hashCode());
  }

  /** The worker's address; null before the machine is up. */
  synchronized String address() {
    return server == null ? null : server.address();
  }

  /** Takes an address, which belongs to no other machine at this time; 0 for any. */
  synchronized void listen(int port) throws IOException {
    for (int tries = 100; server == null; tries--) {
      try {
        server = new Web.Server(port, this::handle);
      } catch (IOException e) {
        // The machine that had the address may not have given it up yet.
        if (tries == 0) {
          throw e;
        }
        World.sleep(20);
      }
    }
  }

  void start() {
    synchronized (this) {
      if (gone) {
        return;
      }
      if (server == null) {
        try {
          listen(0);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
      leaseFromNanos = System.nanoTime();
      dueNanos = System.nanoTime() + random.nextInt(500) * 1_000_000L;
      node = world.members.get(random.nextInt(world.members.size()));
    }
    Web.daemon("reports-" + id, this::report);
    Web.daemon("lease-" + id, this::watchLease);
  }

  synchronized void gone() {
    gone = true;
    dropTasks("gone");
    if (server != null) {
      server.close();
    }
    notifyAll();
  }

  synchronized boolean isGone() {
    return gone;
  }

  /** Stops the machine for a while; it may go on within its lease. */
  synchronized void hang(boolean on) {
    hung = on;
    if (!on && !gone) {
      expireLease();
      List<Runnable> waiting = List.copyOf(deferred);
      deferred.clear();
      waiting.forEach(Runnable::run);
      notifyAll();
    }
  }

  synchronized List<String> activeTasks() {
    List<String> active = new ArrayList<>();
    tasks.values().stream().filter(Task::active).forEach(task -> active.add(task.id));
    return active;
  }

  private void watchLease() {
    while (!isGone()) {
      World.sleep(50);
      synchronized (this) {
        expireLease();
      }
    }
  }

  private void expireLease() {
    if (!gone && System.nanoTime() - leaseFromNanos > world.leaseSeconds * 1e9) {
      if (!tasks.isEmpty()) {
        world.note(id, "lease expired", "watch", watch, "tasks", tasks.keySet().toString());
      }
      dropTasks("lease expired");
      watch++;
      leaseFromNanos = System.nanoTime();
      changed();
    }
  }

  private void dropTasks(String why) {
    for (Task task : tasks.values()) {
      leave(task, why);
    }
    tasks.clear();
  }

  private void leave(Task task, String why) {
    task.changes++;
    if (task.held) {
      task.held = false;
      world.checker.left(task.id, this, why);
    }
    if (world.isGang(task.id)) {
      world.gangs.leave(task.id, task.launch);
    }
  }

  private void changed() {
    dueNanos = Math.min(dueNanos, System.nanoTime() + 500_000_000L);
    notifyAll();
  }

  /** Sends reports, one at a time. */
  private void report() {
    while (true) {
      String to;
      String body;
      long sentNanos;
      long sentWatch;
      synchronized (this) {
        while (!gone && (hung || System.nanoTime() < dueNanos)) {
          try {
            wait(hung ? 50 : Math.max(1, (dueNanos - System.nanoTime()) / 1_000_000));
          } catch (InterruptedException e) {
            return;
          }
        }
        if (gone) {
          return;
        }
        dueNanos = Long.MAX_VALUE;
        to = node;
        body = body();
        sentNanos = System.nanoTime();
        sentWatch = watch;
      }
      Web.Answer answer;
      boolean cut = mute || cutFrom.contains(to);
      if (cut) {
        World.sleep(4000);
        answer = new Web.Answer(0, "", true);
      } else {
        answer = client.call(world.clientAddress(to), "POST", "/hello", body, 4000);
      }
      if (deaf) {
        while (System.nanoTime() - sentNanos < 4_000_000_000L) {
          World.sleep(50);
        }
        answer = new Web.Answer(0, "", true);
      }
      take(answer, sentNanos, sentWatch);
    }
  }

  private synchronized void take(Web.Answer answer, long sentNanos, long sentWatch) {
    while (hung && !gone) {
      try {
        wait(50);
      } catch (InterruptedException e) {
        return;
      }
    }
    if (gone) {
      return;
    }
    expireLease();
    long interval =
        (long) (world.reportSeconds * (0.75 + random.nextDouble() / 2) * 1_000_000_000L);
    boolean inTime = System.nanoTime() - sentNanos <= 4_000_000_000L;
    if (inTime && answer.status() == 200) {
      Map<String, Object> body = J.object(answer.body());
      long token = J.num(body.get("helm"), -1);
      if (token >= helm && sentWatch == watch) {
        boolean higher = token > helm;
        helm = token;
        leaseFromNanos = sentNanos;
        execute(J.objects(body.get("orders")), "answer of " + node);
        if (higher) {
          interval = Math.min(interval, 500_000_000L);
        }
      }
    } else if (inTime && answer.status() == 421) {
      Object named = J.object(answer.body()).get("harbor");
      if (named != null && world.members.contains(named) && !named.equals(node)) {
        node = (String) named;
        interval = random.nextInt(500) * 1_000_000L;
      } else {
        nextNode();
        interval = 1_000_000_000L;
      }
    } else {
      nextNode();
      interval = 1_000_000_000L;
    }
    dueNanos = Math.min(dueNanos, System.nanoTime() + interval);
  }

  private void nextNode() {
    node = world.members.get((world.members.indexOf(node) + 1) % world.members.size());
  }

  private String body() {
    knot++;
    List<Object> list = new ArrayList<>();
    for (Task task : tasks.values()) {
      Map<String, Object> entry = J.of("stroke", task.id, "launch", task.launch, "trim", task.trim);
      if (task.wake != null) {
        entry.put("wake", task.wake);
      }
      if (task.stored) {
        entry.put("stored", true);
      }
      list.add(entry);
    }
    return J.text(
        J.of(
            "vessel", id, "addr", address(), "build", type.name(), "berth", zone, "driftwood", spot,
            "watch", watch, "knot", knot, "helm", helm, "recall_s",
            recallSeconds < 0 ? null : recallSeconds, "strokes", list));
  }

  private Web.Answer handle(Web.Request request) throws InterruptedException {
    if (deaf) {
      World.sleep(60_000);
      return Web.Answer.drop();
    }
    World.sleep(commandsLateMillis);
    synchronized (this) {
      while (hung && !gone) {
        wait(50);
      }
      if (gone) {
        return Web.Answer.drop();
      }
      expireLease();
      if (request.path().equals("/inspect")) {
        return Web.Answer.of(200, body());
      }
      Map<String, Object> body = J.object(request.body());
      if (body.get("helm") == null || body.get("watch") == null) {
        return Web.Answer.of(400, "{}");
      }
      boolean valid = J.num(body.get("helm"), 0) >= helm && J.num(body.get("watch"), 0) == watch;
      if (valid) {
        helm = J.num(body.get("helm"), 0);
        execute(J.objects(body.get("orders")), "direct");
      }
      return Web.Answer.of(valid ? 200 : 409, body());
    }
  }

  private void execute(List<Map<String, Object>> orders, String from) {
    for (Map<String, Object> order : orders) {
      String stroke = (String) order.get("stroke");
      long launch = J.num(order.get("launch"), 0);
      String key = stroke + "@" + launch;
      Task task = tasks.get(key);
      world.note(id, (String) order.get("order"), "task", key, "from", from, "helm", helm);
      switch ((String) order.get("order")) {
        case "start" -> {
          if (task == null) {
            begin(key, stroke, launch);
          }
        }
        case "stop" -> {
          if (task != null && task.active()) {
            stop(task, J.dec(order.get("slack_s"), 0));
          }
        }
        default -> {
          if (task != null && !task.active()) {
            tasks.remove(key);
          }
        }
      }
    }
  }

  private void stop(Task task, double slackSeconds) {
    Map<String, Object> job = world.job(task.id);
    double save = J.dec(job.get("stow_s"), 0);
    boolean saves = J.dec(job.get("mark_s"), 0) > 0 && slackSeconds >= save && slackSeconds > 0;
    if (task.trim.equals("flushing")) {
      if (slackSeconds == 0) {
        end(task, "halted");
      }
    } else if (task.trim.equals("running") && saves) {
      task.trim = "flushing";
      task.changes++;
      changed();
      after(
          task,
          save,
          () -> {
            task.stored = true;
            end(task, "halted");
          });
    } else {
      end(task, "halted");
    }
  }

  private void end(Task task, String wake) {
    leave(task, wake);
    task.trim = "ended";
    task.wake = wake;
    world.note(id, "ended", "task", task.id + "@" + task.launch, "wake", wake);
    changed();
  }

  /** Runs an action later, unless the task has changed by then. */
  private void after(Task task, double seconds, Runnable action) {
    long expected = task.changes;
    world.timer.schedule(
        () -> {
          synchronized (this) {
            runIfSame(task, expected, action);
          }
        },
        (long) (seconds * 1000),
        TimeUnit.MILLISECONDS);
  }

  private void runIfSame(Task task, long expected, Runnable action) {
    if (gone || task.changes != expected) {
      return;
    }
    if (hung) {
      deferred.add(() -> runIfSame(task, expected, action));
    } else {
      expireLease();
      if (task.changes == expected) {
        action.run();
      }
    }
  }

  private void begin(String key, String stroke, long launch) {
    Task task = new Task(stroke, launch);
    Map<String, Object> job = world.job(stroke);
    boolean busy = tasks.values().stream().anyMatch(t -> t.active() && t.id.equals(stroke));
    double cores = 0;
    double mem = 0;
    for (Task other : tasks.values()) {
      if (other.active()) {
        cores += J.dec(world.job(other.id).get("cores"), 0);
        mem += J.dec(world.job(other.id).get("mem_gb"), 0);
      }
    }
    tasks.put(key, task);
    String refusal = job == null ? "unknown" : busy ? "busy" : null;
    if (refusal == null
        && (cores + J.dec(job.get("cores"), 0) > type.cores()
            || mem + J.dec(job.get("mem_gb"), 0) > type.memGb())) {
      refusal = "no_room";
    }
    if (refusal != null) {
      task.trim = "ended";
      task.wake = refusal;
      world.note(id, "refused", "task", key, "wake", refusal);
      changed();
      return;
    }
    boolean cached = images.contains((String) job.get("hull"));
    after(task, cached ? 0.01 : J.dec(job.get("image_gb"), 0) / 2, () -> fetched(task, job));
    changed();
  }

  private void fetched(Task task, Map<String, Object> job) {
    images.add((String) job.get("hull"));
    task.held = true;
    task.changes++;
    world.checker.started(task.id, this);
    if (world.fails(task.id)) {
      end(task, "error");
      return;
    }
    if (world.checker.isDone(task.id)) {
      end(task, "done");
      return;
    }
    if (world.isGang(task.id)) {
      task.trim = "gathering";
      after(task, world.gangWaitSeconds, () -> end(task, "alone"));
      world.gangs.join(task.id, task.launch, this);
    } else {
      run(task, job);
    }
    changed();
  }

  private void run(Task task, Map<String, Object> job) {
    task.trim = "running";
    task.changes++;
    if (failsAfterSeconds >= 0 || world.failsHere(this)) {
      after(task, failsAfterSeconds < 0 ? 1 : failsAfterSeconds, () -> end(task, "error"));
    } else if (!"service".equals(job.get("cut"))) {
      after(
          task,
          world.runSeconds(task.id),
          () -> {
            if (world.isGang(task.id)) {
              world.gangs.complete(task.id, task.launch);
            }
            world.checker.done(task.id);
            end(task, "done");
          });
    }
    changed();
  }

  /** The gang is done, and so is this task of it. */
  synchronized void gangDone(String stroke, long launch) {
    Task task = tasks.get(stroke + "@" + launch);
    if (task != null && task.active()) {
      end(task, "done");
    }
  }

  /** All tasks of the gang have gathered. */
  synchronized void gangRuns(String stroke, long launch) {
    Task task = tasks.get(stroke + "@" + launch);
    if (task != null && task.trim.equals("gathering")) {
      run(task, world.job(stroke));
    }
  }

  /** Another task of the running gang is gone. */
  void gangBroken(String stroke, long launch) {
    world.timer.schedule(
        () -> {
          synchronized (this) {
            Task task = tasks.get(stroke + "@" + launch);
            if (task != null && task.active() && !task.trim.equals("flushing")) {
              end(task, "mates_gone");
            }
          }
        },
        2000,
        TimeUnit.MILLISECONDS);
  }
}
