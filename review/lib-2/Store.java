import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** The state service, with an address of its own for each controller. */
final class Store {
  private static final int KEPT_CHANGES = 10_000;

  /** What happens to one request; the default is nothing unusual. */
  static final class Fate {
    long delayBeforeMillis;
    long delayAnswerMillis;
    boolean answerLost;

    /** At least 0: nothing is answered, and the transaction is carried out that much later. */
    long lateByMillis = -1;
  }

  interface Faults {
    Fate decide(String member, Web.Request request);
  }

  private record Item(Object data, long entry, long lease) {}

  private record Change(String key, Object data, long entry) {}

  private static final class Lease {
    long lengthNanos;
    long endNanos;
  }

  private final TreeMap<String, Item> items = new TreeMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private final Set<String> refused = new LinkedHashSet<>();
  private final Map<String, Web.Server> servers = new LinkedHashMap<>();
  private final Bucket requests;
  private final Bucket writeRate;
  private final int maxWrites;
  private long revision = 400;
  private long lastLease = 6;
  private boolean outage;
  volatile Faults faults = (member, request) -> null;
  volatile long latencyMillis = 3;

  /** A token bucket that holds the tokens of one second. */
  private static final class Bucket {
    private final double rate;
    private double tokens;
    private long filledNanos = System.nanoTime();

    Bucket(double rate) {
      this.rate = rate;
      tokens = rate;
    }

    synchronized boolean take(int count) {
      long now = System.nanoTime();
      tokens = Math.min(rate, tokens + (now - filledNanos) / 1e9 * rate);
      filledNanos = now;
      if (tokens < count) {
        return false;
      }
      tokens -= count;
      return true;
    }
  }

  Store(List<String> members, double rps, double writeRps, int maxWrites) throws IOException {
    requests = new Bucket(rps);
    writeRate = new Bucket(writeRps);
    this.maxWrites = maxWrites;
    for (String member : members) {
      servers.put(member, new Web.Server(request -> handle(member, request)));
    }
    Web.daemon("leases", this::expireLeases);
  }

  int port(String member) {
    return servers.get(member).port;
  }

  /** Refuses one controller alone, or serves it again. */
  synchronized void refuse(String member, boolean on) {
    if (on) {
      refused.add(member);
    } else {
      refused.remove(member);
    }
    notifyAll();
  }

  /** Begins an outage, or ends it with every lease at its full time. */
  synchronized void outage(boolean on) {
    outage = on;
    if (!on) {
      leases.values().forEach(lease -> lease.endNanos = System.nanoTime() + lease.lengthNanos);
    }
    notifyAll();
  }

  /** The value of a key, or null. */
  synchronized Object peek(String key) {
    Item item = items.get(key);
    return item == null ? null : item.data;
  }

  synchronized Map<String, Object> peekAll(String prefix) {
    Map<String, Object> found = new LinkedHashMap<>();
    items
        .tailMap(prefix)
        .forEach(
            (key, item) -> {
              if (key.startsWith(prefix)) {
                found.put(key, item.data);
              }
            });
    return found;
  }

  private void expireLeases() {
    while (true) {
      World.sleep(20);
      synchronized (this) {
        if (!outage) {
          long now = System.nanoTime();
          for (long id : List.copyOf(leases.keySet())) {
            if (now > leases.get(id).endNanos) {
              endLease(id);
            }
          }
        }
      }
    }
  }

  private void endLease(long id) {
    leases.remove(id);
    List<String> attached = new ArrayList<>();
    items.forEach(
        (key, item) -> {
          if (item.lease == id) {
            attached.add(key);
          }
        });
    if (!attached.isEmpty()) {
      revision++;
      attached.forEach(key -> put(key, null, 0));
      notifyAll();
    }
  }

  private void put(String key, Object data, long lease) {
    if (data == null) {
      if (items.remove(key) == null) {
        return;
      }
    } else {
      items.put(key, new Item(data, revision, lease));
    }
    changes.addLast(new Change(key, data, revision));
    if (changes.size() > KEPT_CHANGES) {
      changes.removeFirst();
    }
  }

  private synchronized boolean unavailable(String member) {
    return outage || refused.contains(member);
  }

  private Web.Answer handle(String member, Web.Request request) throws InterruptedException {
    Fate fate = faults.decide(member, request);
    World.sleep(latencyMillis);
    if (fate != null && fate.lateByMillis >= 0) {
      Web.daemon(
          "late",
          () -> {
            World.sleep(fate.lateByMillis);
            answer(member, request);
          });
      World.sleep(60_000);
      return Web.Answer.drop();
    }
    if (fate != null) {
      World.sleep(fate.delayBeforeMillis);
    }
    Web.Answer answer =
        request.path().startsWith("/follow") ? follow(member, request) : answer(member, request);
    if (fate != null && fate.answerLost) {
      World.sleep(60_000);
      return Web.Answer.drop();
    }
    if (fate != null) {
      World.sleep(fate.delayAnswerMillis);
    }
    return answer;
  }

  private static Map<String, String> query(String path) {
    Map<String, String> query = new HashMap<>();
    for (String part : path.substring(path.indexOf('?') + 1).split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    return query;
  }

  private Web.Answer follow(String member, Web.Request request) throws InterruptedException {
    if (unavailable(member)) {
      return Web.Answer.of(503, "{}");
    }
    if (!requests.take(1)) {
      return Web.Answer.of(429, "{}");
    }
    Map<String, String> query = query(request.path());
    String prefix = query.get("under");
    long since = Long.parseLong(query.get("since"));
    long endNanos =
        System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
    synchronized (this) {
      while (true) {
        if (!unavailable(member)) {
          if (!changes.isEmpty()
              && changes.size() == KEPT_CHANGES
              && since < changes.peekFirst().entry - 1) {
            return Web.Answer.of(410, "{}");
          }
          List<Object> news = new ArrayList<>();
          for (Change change : changes) {
            if (change.entry > since && change.key.startsWith(prefix)) {
              news.add(
                  change.data == null
                      ? J.of("drop", change.key, "entry", change.entry)
                      : J.of("write", change.key, "data", change.data, "entry", change.entry));
            }
          }
          if (!news.isEmpty() || System.nanoTime() >= endNanos) {
            return Web.Answer.of(200, J.of("logline", revision, "news", news));
          }
        }
        wait(Math.max(1, Math.min(200, (endNanos - System.nanoTime()) / 1_000_000 + 1)));
      }
    }
  }

  private synchronized Web.Answer answer(String member, Web.Request request) {
    if (unavailable(member)) {
      return Web.Answer.of(503, "{}");
    }
    if (!requests.take(1)) {
      return Web.Answer.of(429, "{}");
    }
    String path = request.path();
    if (path.equals("/commit")) {
      return commit(J.object(request.body()));
    }
    if (path.equals("/holds")) {
      Lease lease = new Lease();
      lease.lengthNanos = 1_000_000 * J.num(J.object(request.body()).get("life_ms"), 5000);
      lease.endNanos = System.nanoTime() + lease.lengthNanos;
      leases.put(++lastLease, lease);
      return Web.Answer.of(200, J.of("mooring", lastLease));
    }
    if (path.startsWith("/holds/")) {
      long id = Long.parseLong(path.split("/")[2]);
      Lease lease = leases.get(id);
      if (lease == null) {
        return Web.Answer.of(404, "{}");
      }
      if (request.method().equals("DELETE")) {
        endLease(id);
      } else {
        lease.endNanos = System.nanoTime() + lease.lengthNanos;
      }
      return Web.Answer.of(200, J.of("mooring", id));
    }
    if (path.startsWith("/store?")) {
      return range(query(path));
    }
    String key = path.substring("/store/".length());
    Item item = items.get(key);
    return item == null
        ? Web.Answer.of(404, J.of("logline", revision))
        : Web.Answer.of(200, row(key, item));
  }

  private static Map<String, Object> row(String key, Item item) {
    Map<String, Object> row = J.of("path", key, "data", item.data, "entry", item.entry);
    if (item.lease != 0) {
      row.put("mooring", item.lease);
    }
    return row;
  }

  private Web.Answer range(Map<String, String> query) {
    String prefix = query.get("under");
    String since = query.getOrDefault("since", "");
    int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
    List<Object> rows = new ArrayList<>();
    int bytes = 0;
    boolean more = false;
    for (Map.Entry<String, Item> entry : items.tailMap(prefix).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        break;
      }
      if (entry.getKey().compareTo(since) <= 0) {
        continue;
      }
      if (rows.size() == most || bytes > 500_000) {
        more = true;
        break;
      }
      Map<String, Object> row = row(entry.getKey(), entry.getValue());
      bytes += J.text(row).length();
      rows.add(row);
    }
    return Web.Answer.of(200, J.of("rows", rows, "more", more, "logline", revision));
  }

  private Web.Answer commit(Map<String, Object> body) {
    List<Map<String, Object>> conditions = J.objects(body.get("when"));
    List<Map<String, Object>> writes = J.objects(body.get("writes"));
    if (writes.size() > maxWrites || conditions.size() > 4 * maxWrites) {
      return Web.Answer.of(400, J.of("error", "too many"));
    }
    if (!writeRate.take(writes.size())) {
      return Web.Answer.of(429, "{}");
    }
    for (Map<String, Object> write : writes) {
      long lease = J.num(write.get("mooring"), 0);
      if (lease != 0 && !leases.containsKey(lease)) {
        return Web.Answer.of(400, J.of("error", "no such lease"));
      }
    }
    List<String> failed = new ArrayList<>();
    for (Map<String, Object> condition : conditions) {
      Item item = items.get((String) condition.get("path"));
      if ((item == null ? 0 : item.entry) != J.num(condition.get("entry"), 0)) {
        failed.add((String) condition.get("path"));
      }
    }
    if (!failed.isEmpty()) {
      return Web.Answer.of(409, J.of("failed", failed, "logline", revision));
    }
    if (!writes.isEmpty()) {
      revision++;
      for (Map<String, Object> write : writes) {
        if (write.containsKey("drop")) {
          put((String) write.get("drop"), null, 0);
        } else {
          put((String) write.get("write"), write.get("data"), J.num(write.get("mooring"), 0));
        }
      }
      notifyAll();
    }
    return Web.Answer.of(200, J.of("logline", revision));
  }
}
