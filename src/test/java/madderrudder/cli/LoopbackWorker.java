package madderrudder.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * A worker for real controllers on loopback, on a thread of its own: it sends heartbeats, follows
 * redirects and executes commands. Its tasks run for half a second, or until they are stopped.
 */
final class LoopbackWorker extends Thread {
  private static final long HEARTBEAT_MILLIS = 300;
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(14);

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final String id;
  private final String zone;
  private final boolean spot;
  private final Map<String, String> controllers;
  private final Predicate<String> endless;
  private final List<String> problems;

  /** Tasks by id; confined to the worker's thread. */
  private final Map<String, Task> tasks = new LinkedHashMap<>();

  private volatile boolean stopped;
  private volatile String pinnedTo = "";
  private String controller;
  private long sequence;
  private long token;
  private long answeredNanos = System.nanoTime();

  /** One task with its attempt; {@code exitReason} is empty while it runs. */
  private static final class Task {
    final long attempt;
    final long startedNanos = System.nanoTime();
    String exitReason = "";

    Task(long attempt) {
      this.attempt = attempt;
    }
  }

  /**
   * @param controllers the base URL of each controller
   * @param endless selects the tasks that run until they are stopped
   * @param problems receives a line for each lease that expires; thread-safe
   */
  LoopbackWorker(
      String id,
      String zone,
      boolean spot,
      Map<String, String> controllers,
      Predicate<String> endless,
      List<String> problems) {
    super(id);
    this.id = id;
    this.zone = zone;
    this.spot = spot;
    this.controllers = controllers;
    this.endless = endless;
    this.problems = problems;
    controller = controllers.keySet().iterator().next();
    setDaemon(true);
  }

  /** Makes the worker keep to one controller and ignore redirects; empty to follow them again. */
  void pinTo(String member) {
    pinnedTo = member;
  }

  /** Ends the thread after the heartbeat that is under way. */
  void shutDown() {
    stopped = true;
  }

  @Override
  public void run() {
    while (!stopped) {
      long sentNanos = System.nanoTime();
      endFinishedTasks();
      sendHeartbeat(sentNanos);
      if (System.nanoTime() - answeredNanos > LEASE_NANOS) {
        problems.add("the lease of " + id + " expired");
        return;
      }
      pause();
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(HEARTBEAT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void endFinishedTasks() {
    long now = System.nanoTime();
    tasks.forEach(
        (task, state) -> {
          if (state.exitReason.isEmpty()
              && !endless.test(task)
              && now - state.startedNanos > RUN_NANOS) {
            state.exitReason = "done";
          }
        });
  }

  private void sendHeartbeat(long sentNanos) {
    if (!pinnedTo.isEmpty()) {
      controller = pinnedTo;
    }
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(controllers.get(controller) + "/hello"))
            .timeout(Duration.ofSeconds(4))
            .POST(HttpRequest.BodyPublishers.ofByteArray(heartbeat()))
            .build();
    try {
      HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
      JsonFields body = Json.readObject(response.body());
      if (response.statusCode() == 200) {
        execute(body, sentNanos);
      } else if (response.statusCode() == 421 && controllers.containsKey(body.text("harbor", ""))) {
        controller = body.text("harbor");
      } else {
        tryNextController();
      }
    } catch (IOException e) {
      tryNextController();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (MalformedMessageException e) {
      problems.add(id + " got a malformed answer: " + e.getMessage());
    }
  }

  private void tryNextController() {
    List<String> names = new ArrayList<>(controllers.keySet());
    controller = names.get((names.indexOf(controller) + 1) % names.size());
  }

  private byte[] heartbeat() {
    sequence++;
    return Json.object(
        out -> {
          out.writeStringField("vessel", id);
          out.writeStringField("addr", "127.0.0.1:1");
          out.writeStringField("build", "big");
          out.writeStringField("berth", zone);
          out.writeBooleanField("driftwood", spot);
          out.writeNumberField("watch", 1);
          out.writeNumberField("knot", sequence);
          out.writeNumberField("helm", token);
          out.writeNullField("recall_s");
          out.writeArrayFieldStart("strokes");
          for (Map.Entry<String, Task> task : tasks.entrySet()) {
            out.writeStartObject();
            out.writeStringField("stroke", task.getKey());
            out.writeNumberField("launch", task.getValue().attempt);
            String exitReason = task.getValue().exitReason;
            out.writeStringField("trim", exitReason.isEmpty() ? "running" : "ended");
            if (!exitReason.isEmpty()) {
              out.writeStringField("wake", exitReason);
            }
            out.writeEndObject();
          }
          out.writeEndArray();
        });
  }

  private void execute(JsonFields response, long sentNanos) throws MalformedMessageException {
    if (response.count("helm") < token) {
      return;
    }
    token = response.count("helm");
    answeredNanos = sentNanos;
    for (JsonFields command : response.objects("orders")) {
      String task = command.text("stroke");
      Task present = tasks.get(task);
      switch (command.text("order")) {
        case "start" -> tasks.putIfAbsent(task, new Task(command.count("launch")));
        case "stop" -> {
          if (present != null && present.exitReason.isEmpty()) {
            present.exitReason = "halted";
          }
        }
        case "reap" -> tasks.remove(task);
        default -> problems.add(id + " got an unknown command: " + command.text("order"));
      }
    }
  }
}
