package madderrudder.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import madderrudder.coordination.policy.Deployment;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogState;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.TaskId;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/** A stand-in for the state service, by its published protocol. */
final class SimStore {
  private final Sim sim;
  private final Deployment.StateLimits limits;
  private final int mostWrites;
  private final int mostValueBytes;
  private final TreeMap<String, Entry> keys = new TreeMap<>();
  private final List<Event> log = new ArrayList<>();
  private final Map<Long, Hold> holds = new HashMap<>();
  private final List<Runnable> watches = new ArrayList<>();
  private final Set<String> refused = new HashSet<>();
  private final Map<String, LogSegment> pages = new HashMap<>();

  /** Where the log names a task; at two machines at once, a new leader could start it twice. */
  private final Map<TaskId, String> named = new HashMap<>();

  final List<String> broken = new ArrayList<>();

  /** Which worker has a task: while one does, it may be placed nowhere else. */
  Function<TaskId, String> holderOf = task -> null;

  private long revision = 100;
  private long nextHold = 1;
  private boolean down;
  long requests;
  long written;
  long runTimesWritten;
  private int slowness = 1;

  /**
   * What is left of the requests and writes of a second, which is as much as can be used at once.
   */
  private double requestsLeft;

  private double writesLeft;
  private long leftAtMicros;

  /** Requests that were too many or carried too many writes. */
  int tooMany;

  private boolean readsFail;
  private double lateShare;
  private double unansweredShare;

  /** Transactions that were carried out at once and whose answer was lost. */
  int unanswered;

  /**
   * Transactions that were carried out late and changed something, and those that found a newer
   * state.
   */
  int lateApplied;

  int lateInVain;

  private record Entry(byte[] data, long version, long hold) {}

  private record Event(String key, byte[] data, long revision) {}

  private static final class Hold {
    long lifeMicros;
    long endMicros;
  }

  SimStore(Sim sim, Deployment.StateLimits limits) {
    this.sim = sim;
    this.limits = limits;
    mostWrites = limits.transactionWrites();
    mostValueBytes = limits.valueBytes();
    requestsLeft = limits.requestsPerSecond();
    writesLeft = limits.writesPerSecond();
  }

  /** Whether the rates allow one more request with so many writes. */
  private boolean allows(int writes) {
    double seconds = (sim.nowMicros - leftAtMicros) / 1e6;
    leftAtMicros = sim.nowMicros;
    requestsLeft =
        Math.min(limits.requestsPerSecond(), requestsLeft + seconds * limits.requestsPerSecond());
    writesLeft =
        Math.min(limits.writesPerSecond(), writesLeft + seconds * limits.writesPerSecond());
    if (requestsLeft < 1 || writesLeft < writes) {
      tooMany++;
      return false;
    }
    requestsLeft--;
    writesLeft -= writes;
    return true;
  }

  void outage(long forMicros) {
    down = true;
    sim.after(
        forMicros,
        () -> {
          down = false;
          holds.values().forEach(hold -> hold.endMicros = sim.nowMicros + hold.lifeMicros);
          wake();
        });
  }

  /** Takes so many times as long to answer. */
  void slow(int factor, long forMicros) {
    slowness = factor;
    sim.after(forMicros, () -> slowness = 1);
  }

  /** Ranges get 429, while all else is served. */
  void failReads(long forMicros) {
    readsFail = true;
    sim.after(forMicros, () -> readsFail = false);
  }

  /**
   * Of transactions this share gets no answer, and is carried out 2 to 12 s later, after newer
   * ones.
   */
  void lateWrites(double share, long forMicros) {
    lateShare = share;
    sim.after(forMicros, () -> lateShare = 0);
  }

  /** This share of transactions is carried out at once, and only the answer is lost. */
  void loseAnswers(double share, long forMicros) {
    unansweredShare = share;
    sim.after(forMicros, () -> unansweredShare = 0);
  }

  private void late(Fields transaction) {
    sim.after(
        2 * World.SECOND + sim.random.nextLong(10 * World.SECOND),
        () -> {
          expire();
          if (down) {
            late(transaction);
            return;
          }
          try {
            commit(
                transaction,
                response -> {
                  lateApplied += response.status() == 200 ? 1 : 0;
                  lateInVain += response.status() == 200 ? 0 : 1;
                });
          } catch (MalformedMessageException e) {
            throw new AssertionError("the store got nonsense", e);
          }
        });
  }

  void refuse(String host, long forMicros) {
    refused.add(host);
    sim.after(forMicros, () -> refused.remove(host));
  }

  HttpHandler exchangeFor(String host) {
    return (request, answer) ->
        sim.after(
            slowness * (1_000 + sim.random.nextLong(sim.chance(0.01) ? 300_000 : 8_000)),
            () -> handle(host, request, answer));
  }

  private void handle(String host, HttpRequest request, Consumer<HttpResponse> answer) {
    requests++;
    expire();
    try {
      String path = request.path();
      int writes =
          path.equals("/commit") ? Json.readObject(request.body()).objects("writes").size() : 0;
      if (!allows(writes)) {
        answer.accept(HttpResponse.of(429, Json.error("too many")));
      } else if (path.equals("/follow")) {
        follow(host, query(request), answer, sim.nowMicros);
      } else if (down || refused.contains(host)) {
        answer.accept(HttpResponse.of(503, Json.error("trouble")));
      } else if (path.equals("/commit") && lateShare > 0 && sim.chance(lateShare)) {
        late(Json.readObject(request.body()));
      } else if (path.equals("/commit") && unansweredShare > 0 && sim.chance(unansweredShare)) {
        commit(
            Json.readObject(request.body()),
            response -> unanswered += response.status() == 200 && writes > 0 ? 1 : 0);
      } else if (path.equals("/commit")) {
        commit(Json.readObject(request.body()), answer);
      } else if (path.equals("/store") && readsFail) {
        answer.accept(HttpResponse.of(429, Json.error("too many")));
      } else if (path.equals("/store")) {
        range(query(request), answer);
      } else if (path.startsWith("/store/")) {
        get(path.substring(7), answer);
      } else if (path.equals("/holds")) {
        Hold hold = new Hold();
        hold.lifeMicros = Json.readObject(request.body()).count("life_ms") * 1000;
        hold.endMicros = sim.nowMicros + hold.lifeMicros;
        long id = nextHold++;
        holds.put(id, hold);
        answer.accept(ok(out -> out.writeNumberField("mooring", id)));
      } else if (path.endsWith("/extend")) {
        Hold hold = holds.get(Long.parseLong(path.substring(7, path.length() - 7)));
        if (hold != null) {
          hold.endMicros = sim.nowMicros + hold.lifeMicros;
        }
        answer.accept(HttpResponse.of(hold == null ? 404 : 200, new byte[] {'{', '}'}));
      } else {
        end(Long.parseLong(path.substring(7)));
        answer.accept(HttpResponse.of(200, new byte[] {'{', '}'}));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError("the store got nonsense: " + request.target(), e);
    }
  }

  private static HttpResponse ok(Json.Body fields) {
    return HttpResponse.of(200, Json.object(fields));
  }

  private static Map<String, String> query(HttpRequest request) {
    Map<String, String> query = new HashMap<>();
    for (String part : request.target().substring(request.path().length() + 1).split("&", -1)) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return query;
  }

  private void expire() {
    if (!down) {
      List.copyOf(holds.entrySet()).stream()
          .filter(hold -> hold.getValue().endMicros <= sim.nowMicros)
          .forEach(hold -> end(hold.getKey()));
    }
  }

  private void end(long hold) {
    holds.remove(hold);
    List<String> attached =
        keys.entrySet().stream()
            .filter(e -> e.getValue().hold() == hold)
            .map(Map.Entry::getKey)
            .toList();
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(key -> change(key, null, 0));
      wake();
    }
  }

  private void change(String key, byte[] data, long hold) {
    if (data == null) {
      keys.remove(key);
    } else {
      keys.put(key, new Entry(data, revision, hold));
    }
    log.add(new Event(key, data, revision));
  }

  /**
   * What is kept under the prefix is no more what was written; how many values were overwritten.
   */
  int damage(String prefix, byte[] data) {
    List<String> damaged = keys.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    damaged.forEach(key -> change(key, data, 0));
    return damaged.size();
  }

  private void commit(Fields in, Consumer<HttpResponse> answer) throws MalformedMessageException {
    List<Fields> writes = in.objects("writes");
    if (writes.size() > mostWrites) {
      throw new AssertionError("a transaction of " + writes.size() + " writes");
    }
    for (Fields write : writes) {
      if (write.has("mooring") && !holds.containsKey(write.count("mooring"))) {
        answer.accept(HttpResponse.of(400, Json.error("no such lease")));
        return;
      }
    }
    List<String> failed = new ArrayList<>();
    boolean byTerm = false;
    for (Fields condition : in.objects("when")) {
      byTerm |= condition.text("path").equals(Keys.TERM);
      Entry entry = keys.get(condition.text("path"));
      if ((entry == null ? 0 : entry.version()) != condition.count("entry")) {
        failed.add(condition.text("path"));
      }
    }
    if (!failed.isEmpty()) {
      answer.accept(
          HttpResponse.of(
              409,
              Json.object(
                  out -> {
                    out.writeArrayFieldStart("failed");
                    for (String key : failed) {
                      out.writeString(key);
                    }
                    out.writeEndArray();
                    out.writeNumberField("logline", revision);
                  })));
      return;
    }
    revision++;
    readLog(writes);
    for (Fields write : writes) {
      String key = write.text(write.has("drop") ? "drop" : "write");
      if (key.startsWith(Keys.RUN_TIMES)) {
        runTimesWritten++;
        if (!byTerm) {
          broken.add(key + " was written without a term");
        }
      }
      written++;
      if ((key.startsWith(Keys.FINISHED) && keys.containsKey(key))
          || (key.startsWith(Keys.LIVE)
              && keys.containsKey(Keys.FINISHED + key.substring(Keys.LIVE.length()))
              && !write.has("drop"))) {
        broken.add(key + " is written again after its end");
      }
      if (write.has("drop")) {
        change(write.text("drop"), null, 0);
      } else {
        byte[] data = write.object("data").render();
        if (data.length > mostValueBytes) {
          throw new AssertionError("a value of " + data.length + " bytes");
        }
        change(write.text("write"), data, write.count("mooring", 0));
      }
    }
    answer.accept(ok(out -> out.writeNumberField("logline", revision)));
    wake();
  }

  private void readLog(List<Fields> writes) throws MalformedMessageException {
    boolean turned = false;
    for (Fields write : writes) {
      String key = write.text("write", "");
      if (key.startsWith("s/")) {
        pages.put(key, LogSegment.read(write.object("data")));
        turned = true;
      }
    }
    if (turned) {
      Map<TaskId, String> before = Map.copyOf(named);
      named.clear();
      for (LogSegment.Placement entry : LogState.of(pages.values()).placed()) {
        String other = named.put(entry.task(), entry.machine());
        if (other != null) {
          broken.add(entry.task() + " is named on " + other + " and on " + entry.machine());
        }
        String holder =
            entry.machine().equals(before.get(entry.task())) ? null : holderOf.apply(entry.task());
        if (holder != null && !holder.equals(entry.machine())) {
          broken.add(
              entry.task() + " is placed on " + entry.machine() + " while " + holder + " has it");
        }
      }
    }
  }

  /** Whether the store keeps that the task is done; of a job that is over nothing need be kept. */
  boolean keepsDone(TaskId task) {
    int chunk = task.index() / JobRecords.CHUNK;
    Entry progress = keys.get("p/" + task.job() + "/" + chunk);
    BitSet done = new BitSet();
    try {
      if (progress != null) {
        JobRecords.readProgress(Json.readObject(progress.data()), chunk, done);
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
    return done.get(task.index()) || !keys.containsKey("l/" + task.job());
  }

  Set<TaskId> named() {
    return named.keySet();
  }

  /** On which machine the log names the task, or null. */
  String placeOf(TaskId task) {
    return named.get(task);
  }

  private void get(String key, Consumer<HttpResponse> answer) {
    Entry entry = keys.get(key);
    if (entry == null) {
      answer.accept(
          HttpResponse.of(404, Json.object(out -> out.writeNumberField("logline", revision))));
      return;
    }
    answer.accept(
        ok(
            out -> {
              out.writeStringField("path", key);
              out.writeFieldName("data");
              out.writeRawValue(new String(entry.data(), StandardCharsets.UTF_8));
              out.writeNumberField("entry", entry.version());
            }));
  }

  private void range(Map<String, String> query, Consumer<HttpResponse> answer) {
    String prefix = query.get("under");
    int most = Math.min(7, Integer.parseInt(query.get("most")));
    List<Map.Entry<String, Entry>> rows =
        keys
            .tailMap(query.getOrDefault("since", prefix), !query.containsKey("since"))
            .entrySet()
            .stream()
            .filter(e -> e.getKey().startsWith(prefix))
            .limit(most + 1)
            .toList();
    answer.accept(
        ok(
            out -> {
              out.writeArrayFieldStart("rows");
              for (var row : rows.subList(0, Math.min(most, rows.size()))) {
                out.writeStartObject();
                out.writeStringField("path", row.getKey());
                out.writeFieldName("data");
                out.writeRawValue(new String(row.getValue().data(), StandardCharsets.UTF_8));
                out.writeNumberField("entry", row.getValue().version());
                out.writeEndObject();
              }
              out.writeEndArray();
              out.writeBooleanField("more", rows.size() > most);
              out.writeNumberField("logline", revision);
            }));
  }

  private void follow(
      String host, Map<String, String> query, Consumer<HttpResponse> answer, long sentMicros) {
    String prefix = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long endMicros = sentMicros + Long.parseLong(query.get("wait_ms")) * 1000;
    boolean[] answered = new boolean[1];
    Runnable look =
        () -> {
          if (answered[0] || down || refused.contains(host)) {
            return;
          }
          List<Event> news =
              log.stream().filter(e -> e.revision() > since && e.key().startsWith(prefix)).toList();
          if (news.isEmpty() && sim.nowMicros < endMicros) {
            return;
          }
          answered[0] = true;
          answer.accept(
              ok(
                  out -> {
                    out.writeNumberField("logline", revision);
                    out.writeArrayFieldStart("news");
                    for (Event event : news) {
                      out.writeStartObject();
                      out.writeStringField(event.data() == null ? "drop" : "write", event.key());
                      if (event.data() != null) {
                        out.writeFieldName("data");
                        out.writeRawValue(new String(event.data(), StandardCharsets.UTF_8));
                      }
                      out.writeNumberField("entry", event.revision());
                      out.writeEndObject();
                    }
                    out.writeEndArray();
                  }));
        };
    watches.add(look);
    look.run();
    sim.after(
        endMicros - sim.nowMicros,
        () -> {
          expire();
          look.run();
          watches.remove(look);
        });
  }

  private void wake() {
    List.copyOf(watches).forEach(Runnable::run);
  }

  /** Ends holds whose time is up even while nobody calls. */
  void tick() {
    expire();
    sim.after(50_000, this::tick);
  }
}
