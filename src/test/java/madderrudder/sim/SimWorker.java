package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Fields;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;

/** A stand-in for a machine's worker, by the published protocol. */
final class SimWorker implements HttpHandler {
  private static final long ANSWER_MICROS = 4_000_000;
  private static final int LINE_BYTES = 64 * 1024;

  final String id;
  final String addr;
  final String type;
  final String zone;
  final boolean spot;
  private final Sim sim;
  private final Sim.Host clock;
  private final HttpCaller calls;
  private final Rules rules;
  private final Deployment.WorkerTimes times;
  private final Resources capacity;
  private final Map<String, String> nodes;
  private final List<String> names;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Set<String> images = new HashSet<>();
  private final List<Runnable> late = new ArrayList<>();
  int starts;
  int answered;
  private long session = 1;
  private long seq;
  private long token;
  private int node;
  private Scheduler.Timer next;
  private boolean inFlight;
  private boolean changed;
  private boolean gone;
  private boolean hanging;
  private long lastAnsweredSentMicros;
  private long recallAtMicros = -1;

  /** One task on the machine. */
  private static final class Task {
    final TaskId id;
    final long attempt;
    final Resources takes;
    String state = "fetching";
    String why;
    SimGangs.Member member;

    Task(TaskId id, long attempt, Resources takes) {
      this.id = id;
      this.attempt = attempt;
      this.takes = takes;
    }

    boolean active() {
      return !state.equals("ended");
    }
  }

  SimWorker(
      Sim sim,
      SimNet net,
      Rules rules,
      Deployment.WorkerTimes times,
      String id,
      String addr,
      String type,
      String zone,
      boolean spot,
      Resources capacity,
      Map<String, String> nodes) {
    this.sim = sim;
    this.rules = rules;
    this.times = times;
    this.id = id;
    this.addr = addr;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.capacity = capacity;
    this.nodes = nodes;
    names = List.copyOf(nodes.keySet());
    clock = sim.new Host(World.clockRate(sim), 0);
    calls = net.callsFrom(id, clock);
    node = sim.random.nextInt(names.size());
    net.place(id, zone);
    net.serve(addr, id, this);
    lastAnsweredSentMicros = clock.nowMicros();
    reportAfter(sim.random.nextLong(times.reportMicros()));
    watchLease();
  }

  private void watchLease() {
    clock.after(
        100_000,
        () -> {
          expireLease();
          watchLease();
        });
  }

  private void expireLease() {
    // A machine that hangs does not run its tasks either, and may go on only within its lease.
    if (leaseOver()) {
      tasks.values().forEach(this::leaves);
      tasks.clear();
      session++;
      lastAnsweredSentMicros = clock.nowMicros();
      change();
    }
  }

  /** The machine and everything on it is gone. */
  void vanish() {
    gone = true;
    clock.ended = true;
    tasks.values().forEach(this::leaves);
    tasks.clear();
  }

  /**
   * The machine ends with all that is on it and is back at once, in its old session or in the next.
   */
  void restart(boolean newSession) {
    tasks.values().forEach(this::leaves);
    tasks.clear();
    late.clear();
    inFlight = false;
    if (newSession) {
      session++;
    }
    lastAnsweredSentMicros = newSession ? clock.nowMicros() : lastAnsweredSentMicros;
    change();
  }

  boolean gone() {
    return gone;
  }

  void recall(long inMicros) {
    recallAtMicros = clock.nowMicros() + inMicros;
    change();
  }

  /** Does nothing for a while; what arrives meanwhile is handled afterwards. */
  void hang(long forMicros) {
    hanging = true;
    sim.after(
        forMicros,
        () -> {
          hanging = false;
          if (!gone) {
            expireLease();
            List<Runnable> waiting = List.copyOf(late);
            late.clear();
            waiting.forEach(Runnable::run);
          }
        });
  }

  private void whenAwake(Runnable action) {
    if (gone) {
      return;
    }
    if (hanging) {
      late.add(() -> whenAwake(action));
    } else {
      action.run();
    }
  }

  /** What is left beside all that is active here. */
  Resources free() {
    Resources free = capacity;
    for (Task task : tasks.values()) {
      free = task.active() ? free.minus(task.takes) : free;
    }
    return free;
  }

  /** Hanging, it may not have noticed yet. */
  boolean leaseOver() {
    return gone || clock.nowMicros() - lastAnsweredSentMicros > times.leaseMicros();
  }

  long token() {
    return token;
  }

  long session() {
    return session;
  }

  private void leaves(Task task) {
    rules.taskGoes(task.id, this);
    if (task.state.equals("running") || task.state.equals("gathering")) {
      rules.taskEnds(task.id, this);
    }
    if (task.member != null) {
      rules.gangs.leave(
          new SimGangs.Gang(task.id.job(), task.attempt), task.id.index(), task.member);
    }
  }

  private void change() {
    if (!changed) {
      changed = true;
      reportAfter(500_000);
    }
  }

  private void reportAfter(long delayMicros) {
    if (next != null) {
      next.cancel();
    }
    next = clock.after(delayMicros, () -> whenAwake(this::report));
  }

  private void report() {
    if (inFlight || gone) {
      return;
    }
    if (hanging) {
      late.add(this::report);
      return;
    }
    inFlight = true;
    changed = false;
    long sentMicros = clock.nowMicros();
    long sentSession = session;
    calls.call(
        nodes.get(names.get(node)),
        HttpRequest.post("/hello", body()),
        ANSWER_MICROS,
        response -> whenAwake(() -> answered(response, sentMicros, sentSession)));
  }

  private void answered(HttpResponse response, long sentMicros, long sentSession) {
    inFlight = false;
    long nextMicros = (long) (times.reportMicros() * (0.75 + sim.random.nextDouble() / 2));
    try {
      boolean inTime = clock.nowMicros() - sentMicros <= ANSWER_MICROS;
      assertTrue(
          response.body().length <= LINE_BYTES,
          () -> "an answer of " + response.body().length + " bytes");
      if (inTime && response.status() == 200) {
        Fields in = Json.readObject(response.body());
        long given = in.count("helm", 0);
        if (given >= token && sentSession == session) {
          token = given;
          lastAnsweredSentMicros = sentMicros;
          answered++;
          execute(in.objects("orders"));
        }
      } else if (inTime && response.status() == 421) {
        String harbor = Json.readObject(response.body()).text("harbor", "");
        int named = names.indexOf(harbor);
        nextMicros = named >= 0 && named != node ? sim.random.nextLong(500_000) : 1_000_000;
        node = named >= 0 && named != node ? named : (node + 1) % names.size();
      } else {
        node = (node + 1) % names.size();
        nextMicros = 1_000_000;
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError("a worker got nonsense", e);
    }
    reportAfter(changed ? Math.min(nextMicros, 500_000) : nextMicros);
  }

  private byte[] body() {
    seq++;
    byte[] body =
        Json.object(
            out -> {
              out.writeStringField("vessel", id);
              out.writeStringField("addr", addr);
              out.writeStringField("build", type);
              out.writeStringField("berth", zone);
              out.writeBooleanField("driftwood", spot);
              out.writeNumberField("watch", session);
              out.writeNumberField("knot", seq);
              out.writeNumberField("helm", token);
              if (recallAtMicros >= 0) {
                out.writeNumberField(
                    "recall_s", Math.max(0, recallAtMicros - clock.nowMicros()) / 1e6);
              }
              out.writeArrayFieldStart("strokes");
              writeTasks(out, false);
              out.writeEndArray();
            });
    assertTrue(body.length <= LINE_BYTES, () -> "a report of " + body.length + " bytes");
    return body;
  }

  /** What it has, or the same as if each task had failed. */
  void writeTasks(JsonGenerator out, boolean failed) throws IOException {
    for (Task task : tasks.values()) {
      String why = failed ? "error" : task.why;
      out.writeStartObject();
      out.writeStringField("stroke", task.id.toString());
      out.writeNumberField("launch", task.attempt);
      out.writeStringField("trim", failed ? "ended" : task.state);
      if (why != null) {
        out.writeStringField("wake", why);
      }
      out.writeEndObject();
    }
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    whenAwake(
        () -> {
          try {
            expireLease();
            Fields in = Json.readObject(request.body());
            boolean fits = in.count("helm") >= token && in.count("watch") == session;
            if (fits) {
              token = in.count("helm");
              execute(in.objects("orders"));
            }
            answer.accept(HttpResponse.of(fits ? 200 : 409, body()));
          } catch (MalformedMessageException e) {
            throw new AssertionError("a worker got nonsense", e);
          }
        });
  }

  private void execute(List<Fields> orders) throws MalformedMessageException {
    for (Fields order : orders) {
      String key = order.text("stroke") + "@" + order.count("launch");
      Task task = tasks.get(key);
      switch (order.text("order")) {
        case "start" -> {
          if (task == null) {
            start(key, TaskId.parse(order.text("stroke")), order.count("launch"));
          }
        }
        case "stop" -> {
          if (task != null && task.active()) {
            rules.taskStopped(task.id);
            exit(task, "halted");
          }
        }
        default -> {
          if (task != null && !task.active()) {
            if (task.why.equals("done")) {
              rules.taskForgotten(task.id, this);
            }
            tasks.remove(key);
          }
        }
      }
    }
  }

  private void start(String key, TaskId id, long attempt) {
    JobSpec job = rules.spec(id.job());
    Task task = new Task(id, attempt, job == null ? Resources.NONE : job.perTask());
    if (job == null) {
      // Nobody has submitted it, as far as the users' uploads tell.
      task.state = "ended";
      task.why = "unknown";
      tasks.put(key, task);
      change();
      return;
    }
    Resources free = free();
    boolean busy = tasks.values().stream().anyMatch(other -> other.active() && other.id.equals(id));
    tasks.put(key, task);
    if (busy || !task.takes.fits(free)) {
      task.state = "ended";
      task.why = busy ? "busy" : "no_room";
      rules.refused++;
      change();
      return;
    }
    rules.taskComes(id, this);
    long fetchMicros =
        images.contains(job.image()) ? 1_000 : 500_000 + sim.random.nextLong(5_000_000);
    clock.after(fetchMicros, () -> whenAwake(() -> hasImage(task, job)));
  }

  private void hasImage(Task task, JobSpec job) {
    if (!task.state.equals("fetching") || !tasks.containsValue(task)) {
      return;
    }
    images.add(job.image());
    starts++;
    rules.taskStarts(task.id, this);
    task.state = job.kind() == JobKind.GANG ? "gathering" : "running";
    change();
    if (rules.mistaken.contains(job.id())) {
      rules.mistakes++;
      exit(task, "error");
    } else if (rules.isCompleted(task.id)) {
      exit(task, "done");
    } else if (job.kind() == JobKind.GANG) {
      gather(task, job);
    } else if (job.kind() != JobKind.SERVICE) {
      int steps = rules.apart.contains(job.id()) ? 1 + 3 * task.id.index() : 1;
      long runMicros = (long) (steps * job.estimateMicros() * (0.5 + sim.random.nextDouble()));
      clock.after(
          runMicros,
          () ->
              whenAwake(
                  () -> {
                    if (task.state.equals("running") && tasks.containsValue(task)) {
                      if (sim.chance(0.03)) {
                        exit(task, "error");
                      } else {
                        rules.taskCompletes(task.id);
                        exit(task, "done");
                      }
                    }
                  }));
    }
  }

  private void gather(Task task, JobSpec job) {
    SimGangs.Gang gang = new SimGangs.Gang(job.id(), task.attempt);
    task.member =
        new SimGangs.Member() {
          @Override
          public void allHere() {
            task.state = "running";
            change();
            if (task.id.index() == 0) {
              rules.begins(job.id());
              long runMicros = (long) (job.estimateMicros() * (0.5 + sim.random.nextDouble()));
              clock.after(
                  runMicros,
                  () ->
                      whenAwake(
                          () -> {
                            if (task.state.equals("running") && tasks.containsValue(task)) {
                              rules.gangs.complete(gang);
                            }
                          }));
            }
          }

          @Override
          public void mateGone() {
            clock.after(
                sim.random.nextLong(times.gangPeerMicros()),
                () ->
                    whenAwake(
                        () -> {
                          if (task.active() && tasks.containsValue(task)) {
                            exit(task, "mates_gone");
                          }
                        }));
          }

          @Override
          public void done() {
            rules.taskCompletes(task.id);
            exit(task, "done");
          }
        };
    clock.after(
        times.gangWaitMicros(),
        () ->
            whenAwake(
                () -> {
                  if (task.state.equals("gathering") && tasks.containsValue(task)) {
                    exit(task, "alone");
                  }
                }));
    rules.gangs.join(gang, task.id.index(), job.tasks(), task.member);
  }

  private void exit(Task task, String why) {
    leaves(task);
    task.state = "ended";
    task.why = why;
    change();
  }
}
