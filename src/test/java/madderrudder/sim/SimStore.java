package madderrudder.sim;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import madderrudder.coordination.policy.Deployment;
import madderrudder.persistence.JobRecords;
import madderrudder.persistence.Keys;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.TaskId;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * The simulated store: implements the published protocol of the state service, a consensus-backed
 * key-value store with leases, conditional transactions, watches and rate limits. It records a
 * violation when controllers place a task on two machines at once, write a job after its end, or
 * write run times without a condition on the term.
 */
final class SimStore {
  private final SimScheduler scheduler;
  private final RateLimit rateLimit;
  private final int maxWrites;
  private final int maxValueBytes;
  private final TreeMap<String, Entry> entries = new TreeMap<>();
  private final List<Event> eventLog = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final List<Runnable> watches = new ArrayList<>();
  private final Set<String> refusedHosts = new HashSet<>();
  final List<String> violations = new ArrayList<>();

  /** The placements in the controllers' log. */
  final PlacementLog placementLog = new PlacementLog(violations);

  private long revision = 100;
  private long nextLease = 1;
  private boolean unavailable;

  /** The number of requests, whatever their answer. */
  long requests;

  /** The number of applied writes. */
  long writesApplied;

  /** The number of applied writes of run times. */
  long runTimeWrites;

  private int latencyFactor = 1;

  private boolean rangeReadsFail;
  private double delayedCommitRate;
  private double lostReplyRate;

  /**
   * The number of writing transactions that were applied immediately and whose reply was dropped.
   */
  int lostReplies;

  /** The number of delayed transactions that failed, since their conditions no longer held. */
  int lateConflicts;

  private EventOrder eventOrder = EventOrder.OLDEST_FIRST;

  /** The order in which a response to a watch lists the changes; the protocol defines none. */
  enum EventOrder {
    OLDEST_FIRST {
      @Override
      void arrange(List<Event> oldestFirst) {}
    },
    NEWEST_FIRST {
      @Override
      void arrange(List<Event> oldestFirst) {
        Collections.reverse(oldestFirst);
      }
    },
    ANY {
      @Override
      void arrange(List<Event> oldestFirst) {
        Collections.shuffle(oldestFirst, new Random(oldestFirst.size()));
      }
    };

    abstract void arrange(List<Event> oldestFirst);
  }

  private record Entry(byte[] data, long version, long lease) {}

  private record Event(String key, byte[] data, long revision) {}

  private static final class Lease {
    long durationMicros;
    long expiresMicros;
  }

  SimStore(SimScheduler scheduler, Deployment.StateLimits limits) {
    this.scheduler = scheduler;
    rateLimit = new RateLimit(limits);
    maxWrites = limits.transactionWrites();
    maxValueBytes = limits.valueBytes();
  }

  /**
   * Makes the store unavailable to all clients. Leases don't expire meanwhile, and are extended at
   * the end.
   */
  void outage(long durationMicros) {
    unavailable = true;
    scheduler.after(
        durationMicros,
        () -> {
          unavailable = false;
          leases
              .values()
              .forEach(lease -> lease.expiresMicros = scheduler.nowMicros + lease.durationMicros);
          notifyWatches();
        });
  }

  /** Multiplies the latency of all requests by the factor. */
  void slowDown(int factor, long durationMicros) {
    latencyFactor = factor;
    scheduler.after(durationMicros, () -> latencyFactor = 1);
  }

  /** Answers range reads with status 429; all other requests are served. */
  void failRangeReads(long durationMicros) {
    rangeReadsFail = true;
    scheduler.after(durationMicros, () -> rangeReadsFail = false);
  }

  /**
   * Delays this share of transactions: they are applied 2 to 12 s later, possibly after newer ones,
   * and get no reply.
   */
  void delayCommits(double share, long durationMicros) {
    delayedCommitRate = share;
    scheduler.after(durationMicros, () -> delayedCommitRate = 0);
  }

  /** Applies this share of transactions immediately and drops their replies. */
  void loseReplies(double share, long durationMicros) {
    lostReplyRate = share;
    scheduler.after(durationMicros, () -> lostReplyRate = 0);
  }

  private void commitLater(JsonFields transaction) {
    scheduler.after(
        2 * SimulatedCluster.SECOND + scheduler.random.nextLong(10 * SimulatedCluster.SECOND),
        () -> {
          expireLeases();
          if (unavailable) {
            commitLater(transaction);
            return;
          }
          try {
            commit(transaction, response -> lateConflicts += response.status() == 200 ? 0 : 1);
          } catch (MalformedMessageException e) {
            throw new AssertionError("the store received a malformed request", e);
          }
        });
  }

  /** Makes the store unavailable to one controller. */
  void refuse(String host, long durationMicros) {
    refusedHosts.add(host);
    scheduler.after(durationMicros, () -> refusedHosts.remove(host));
  }

  /** The store as served to one controller, with a random latency. */
  HttpHandler endpointFor(String host) {
    return (request, answer) ->
        scheduler.after(
            latencyFactor
                * (1_000 + scheduler.random.nextLong(scheduler.chance(0.01) ? 300_000 : 8_000)),
            () -> handle(host, request, answer));
  }

  private void handle(String host, HttpRequest request, Consumer<HttpResponse> answer) {
    requests++;
    expireLeases();
    try {
      String path = request.path();
      int writes =
          path.equals("/commit") ? Json.readObject(request.body()).objects("writes").size() : 0;
      if (!rateLimit.tryAcquire(writes, scheduler.nowMicros)) {
        answer.accept(HttpResponse.of(429, Json.error("too many")));
      } else if (path.equals("/follow")) {
        watch(host, query(request), answer, scheduler.nowMicros);
      } else if (unavailable || refusedHosts.contains(host)) {
        answer.accept(HttpResponse.of(503, Json.error("unavailable")));
      } else if (path.equals("/commit")
          && delayedCommitRate > 0
          && scheduler.chance(delayedCommitRate)) {
        commitLater(Json.readObject(request.body()));
      } else if (path.equals("/commit") && lostReplyRate > 0 && scheduler.chance(lostReplyRate)) {
        commit(
            Json.readObject(request.body()),
            response -> lostReplies += response.status() == 200 && writes > 0 ? 1 : 0);
      } else if (path.equals("/commit")) {
        commit(Json.readObject(request.body()), answer);
      } else if (path.equals("/store") && rangeReadsFail) {
        answer.accept(HttpResponse.of(429, Json.error("too many")));
      } else if (path.equals("/store")) {
        range(query(request), answer);
      } else if (path.startsWith("/store/")) {
        read(path.substring(7), answer);
      } else if (path.equals("/holds")) {
        Lease lease = new Lease();
        lease.durationMicros = Json.readObject(request.body()).count("life_ms") * 1000;
        lease.expiresMicros = scheduler.nowMicros + lease.durationMicros;
        long id = nextLease++;
        leases.put(id, lease);
        answer.accept(ok(out -> out.writeNumberField("mooring", id)));
      } else if (path.endsWith("/extend")) {
        Lease lease = leases.get(Long.parseLong(path.substring(7, path.length() - 7)));
        if (lease != null) {
          lease.expiresMicros = scheduler.nowMicros + lease.durationMicros;
        }
        answer.accept(HttpResponse.of(lease == null ? 404 : 200, new byte[] {'{', '}'}));
      } else {
        endLease(Long.parseLong(path.substring(7)));
        answer.accept(HttpResponse.of(200, new byte[] {'{', '}'}));
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError("the store received a malformed request: " + request.target(), e);
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

  private void expireLeases() {
    if (!unavailable) {
      List.copyOf(leases.entrySet()).stream()
          .filter(lease -> lease.getValue().expiresMicros <= scheduler.nowMicros)
          .forEach(lease -> endLease(lease.getKey()));
    }
  }

  private void endLease(long lease) {
    leases.remove(lease);
    List<String> attachedKeys =
        entries.entrySet().stream()
            .filter(e -> e.getValue().lease() == lease)
            .map(Map.Entry::getKey)
            .toList();
    if (!attachedKeys.isEmpty()) {
      revision++;
      attachedKeys.forEach(key -> put(key, null, 0));
      notifyWatches();
    }
  }

  private void put(String key, byte[] data, long lease) {
    if (data == null) {
      entries.remove(key);
    } else {
      entries.put(key, new Entry(data, revision, lease));
    }
    eventLog.add(new Event(key, data, revision));
  }

  /** Overwrites all values whose keys have the prefix with the data, and returns their number. */
  int corrupt(String prefix, byte[] data) {
    List<String> damaged = entries.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    damaged.forEach(key -> put(key, data, 0));
    return damaged.size();
  }

  private void commit(JsonFields in, Consumer<HttpResponse> answer)
      throws MalformedMessageException {
    List<JsonFields> writes = in.objects("writes");
    if (writes.size() > maxWrites) {
      throw new AssertionError("a transaction with " + writes.size() + " writes exceeds the limit");
    }
    for (JsonFields write : writes) {
      if (write.has("mooring") && !leases.containsKey(write.count("mooring"))) {
        answer.accept(HttpResponse.of(400, Json.error("no such lease")));
        return;
      }
    }
    List<String> failedConditions = new ArrayList<>();
    boolean conditionalOnTerm = false;
    for (JsonFields condition : in.objects("when")) {
      conditionalOnTerm |= condition.text("path").equals(Keys.TERM);
      Entry entry = entries.get(condition.text("path"));
      if ((entry == null ? 0 : entry.version()) != condition.count("entry")) {
        failedConditions.add(condition.text("path"));
      }
    }
    if (!failedConditions.isEmpty()) {
      answer.accept(
          HttpResponse.of(
              409,
              Json.object(
                  out -> {
                    out.writeArrayFieldStart("failed");
                    for (String key : failedConditions) {
                      out.writeString(key);
                    }
                    out.writeEndArray();
                    out.writeNumberField("logline", revision);
                  })));
      return;
    }
    revision++;
    placementLog.applyWrites(writes);
    for (JsonFields write : writes) {
      String key = write.text(write.has("drop") ? "drop" : "write");
      if (key.startsWith(Keys.RUN_TIMES)) {
        runTimeWrites++;
        if (!conditionalOnTerm) {
          violations.add(key + " was written without a condition on the term");
        }
      }
      writesApplied++;
      if ((key.startsWith(Keys.FINISHED) && entries.containsKey(key))
          || (key.startsWith(Keys.LIVE)
              && entries.containsKey(Keys.FINISHED + key.substring(Keys.LIVE.length()))
              && !write.has("drop"))) {
        violations.add(key + " is written after the end of its job");
      }
      if (write.has("drop")) {
        put(write.text("drop"), null, 0);
      } else {
        byte[] data = write.object("data").render();
        if (data.length > maxValueBytes) {
          throw new AssertionError("a value of " + data.length + " bytes exceeds the limit");
        }
        put(write.text("write"), data, write.count("mooring", 0));
      }
    }
    answer.accept(ok(out -> out.writeNumberField("logline", revision)));
    notifyWatches();
  }

  /**
   * Whether the store records that the task is done. Also true once its job has no live record,
   * since the tasks of an ended job need none.
   */
  boolean recordsDone(TaskId task) {
    int chunk = task.index() / JobRecords.TASKS_PER_CHUNK;
    Entry progress = entries.get("p/" + task.job() + "/" + chunk);
    BitSet completed = new BitSet();
    try {
      if (progress != null) {
        JobRecords.decodeProgress(Json.readObject(progress.data()), chunk, completed);
      }
    } catch (MalformedMessageException e) {
      throw new AssertionError(e);
    }
    return completed.get(task.index()) || !entries.containsKey("l/" + task.job());
  }

  private void read(String key, Consumer<HttpResponse> answer) {
    Entry entry = entries.get(key);
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
    int limit = Math.min(7, Integer.parseInt(query.get("most")));
    List<Map.Entry<String, Entry>> rows =
        entries
            .tailMap(query.getOrDefault("since", prefix), !query.containsKey("since"))
            .entrySet()
            .stream()
            .filter(e -> e.getKey().startsWith(prefix))
            .limit(limit + 1)
            .toList();
    answer.accept(
        ok(
            out -> {
              out.writeArrayFieldStart("rows");
              for (var row : rows.subList(0, Math.min(limit, rows.size()))) {
                out.writeStartObject();
                out.writeStringField("path", row.getKey());
                out.writeFieldName("data");
                out.writeRawValue(new String(row.getValue().data(), StandardCharsets.UTF_8));
                out.writeNumberField("entry", row.getValue().version());
                out.writeEndObject();
              }
              out.writeEndArray();
              out.writeBooleanField("more", rows.size() > limit);
              out.writeNumberField("logline", revision);
            }));
  }

  /** Lists the changes in this order from now on. */
  void setEventOrder(EventOrder order) {
    eventOrder = order;
  }

  private void watch(
      String host, Map<String, String> query, Consumer<HttpResponse> answer, long sentMicros) {
    String prefix = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long expiresMicros = sentMicros + Long.parseLong(query.get("wait_ms")) * 1000;
    boolean[] answered = new boolean[1];
    Runnable deliver =
        () -> {
          if (answered[0] || unavailable || refusedHosts.contains(host)) {
            return;
          }
          List<Event> events =
              new ArrayList<>(
                  eventLog.stream()
                      .filter(e -> e.revision() > since && e.key().startsWith(prefix))
                      .toList());
          if (events.isEmpty() && scheduler.nowMicros < expiresMicros) {
            return;
          }
          answered[0] = true;
          eventOrder.arrange(events);
          answer.accept(
              ok(
                  out -> {
                    out.writeNumberField("logline", revision);
                    out.writeArrayFieldStart("news");
                    for (Event event : events) {
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
    watches.add(deliver);
    deliver.run();
    scheduler.after(
        expiresMicros - scheduler.nowMicros,
        () -> {
          expireLeases();
          deliver.run();
          watches.remove(deliver);
        });
  }

  private void notifyWatches() {
    List.copyOf(watches).forEach(Runnable::run);
  }

  /** Expires leases every 50 ms, also while no request arrives. */
  void expireLeasesPeriodically() {
    expireLeases();
    scheduler.after(50_000, this::expireLeasesPeriodically);
  }
}
