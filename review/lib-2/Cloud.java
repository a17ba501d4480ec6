import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud: machine types in two zones, with a list that lags. */
final class Cloud {
  /** What the machines of a type have. */
  record Type(String name, double cores, double memGb) {}

  static final Type BIG = new Type("big", 16, 64);
  static final Type SMALL = new Type("small", 4, 16);

  /** Decides on the machines that are rented; the case may start them itself. */
  interface Boots {
    /** Returns whether the machine boots in the usual time. */
    boolean booting(Machine machine);
  }

  private static final class Entry {
    Machine machine;
    String zone;
    boolean spot;
    long rentedNanos;
    long upNanos;
    long goneNanos = Long.MAX_VALUE;
    long failedNanos = Long.MAX_VALUE;
  }

  private final World world;
  private final Web.Server server;
  private final TreeMap<String, Entry> machines = new TreeMap<>();
  private final Map<String, List<String>> charters = new LinkedHashMap<>();
  private final int perPool;
  private final long lagNanos;
  private int lastNumber = 200;
  volatile long bootMillis = 3000;
  volatile boolean outage;
  volatile Boots boots = machine -> true;
  volatile List<Type> types = List.of(BIG);

  Cloud(World world, int perPool, double lagSeconds) throws IOException {
    this.world = world;
    this.perPool = perPool;
    lagNanos = (long) (lagSeconds * 1e9);
    server = new Web.Server(this::handle);
  }

  int port() {
    return server.port;
  }

  Machine add(String zone, boolean spot, long bootMillis) {
    return add(BIG, zone, spot, bootMillis);
  }

  synchronized Machine add(Type type, String zone, boolean spot, long bootMillis) {
    Entry entry = new Entry();
    String id = String.format("m-%06d", ++lastNumber);
    entry.zone = zone;
    entry.spot = spot;
    entry.rentedNanos = System.nanoTime();
    entry.upNanos = System.nanoTime() + bootMillis * 1_000_000;
    entry.machine = new Machine(world, id, type, zone, spot);
    machines.put(id, entry);
    world.machines.put(id, entry.machine);
    if (boots.booting(entry.machine)) {
      Web.daemon(
          "boot-" + id,
          () -> {
            World.sleep(bootMillis);
            entry.machine.start();
          });
    } else {
      entry.upNanos = Long.MAX_VALUE;
    }
    return entry.machine;
  }

  /** Lets a machine come up that the case holds back. */
  synchronized void up(Machine machine) {
    machines.get(machine.id).upNanos = System.nanoTime();
    machine.start();
  }

  /** A machine stops by itself with all that is on it; it stays listed as failed. */
  synchronized void fail(String id) {
    Entry entry = machines.get(id);
    world.note("cloud", "stops by itself", "machine", id);
    entry.failedNanos = System.nanoTime();
    entry.machine.gone();
  }

  /** Takes a machine back, as the cloud does with spot machines. */
  synchronized void take(String id) {
    Entry entry = machines.get(id);
    if (entry != null && entry.goneNanos == Long.MAX_VALUE) {
      entry.goneNanos = System.nanoTime();
      entry.machine.gone();
    }
  }

  private Web.Answer handle(Web.Request request) {
    if (outage) {
      return Web.Answer.of(503, J.of("error", "trouble"));
    }
    World.sleep(20);
    String path = request.path();
    if (path.equals("/catalog")) {
      List<Object> builds = new ArrayList<>();
      for (Type type : types) {
        builds.add(
            J.of(
                "label", type.name, "cores", type.cores, "accelerators", 0.0, "mem_gb", type.memGb,
                "local_gb", 80.0, "fetch_gb_per_s", 2.0, "price", type.cores / 16, "spot_price",
                type.cores / 32, "startup_s", bootMillis / 1000.0, "berths", world.zones));
      }
      return Web.Answer.of(200, J.of("builds", builds));
    }
    if (path.equals("/machines/delete")) {
      for (Object id : (List<?>) J.object(request.body()).get("fleet")) {
        world.note("cloud", "delete", "machine", id);
        take((String) id);
      }
      return Web.Answer.of(200, "{}");
    }
    return path.equals("/machines") ? rent(J.object(request.body())) : list(path);
  }

  private synchronized Web.Answer rent(Map<String, Object> body) {
    String charter = (String) body.get("charter");
    if (!charters.containsKey(charter)) {
      String zone = (String) body.get("berth");
      boolean spot = Boolean.TRUE.equals(body.get("driftwood"));
      long rented =
          machines.values().stream()
              .filter(e -> e.goneNanos == Long.MAX_VALUE && e.zone.equals(zone) && e.spot == spot)
              .filter(e -> e.machine.type.name().equals(body.get("build")))
              .count();
      long count = Math.min(perPool - rented, J.num(body.get("how_many"), 0));
      if (count <= 0) {
        return Web.Answer.of(503, J.of("error", "no capacity"));
      }
      Type type =
          types.stream().filter(t -> t.name.equals(body.get("build"))).findFirst().orElseThrow();
      List<String> ids = new ArrayList<>();
      for (long i = 0; i < count; i++) {
        ids.add(add(type, zone, spot, bootMillis).id);
      }
      charters.put(charter, ids);
      world.note("cloud", "rent", "charter", charter, "machines", ids.toString());
    }
    return Web.Answer.of(200, J.of("fleet", charters.get(charter)));
  }

  private static String trim(Entry entry, long asOf) {
    return asOf < entry.upNanos ? "booting" : asOf >= entry.failedNanos ? "failed" : "running";
  }

  private synchronized Web.Answer list(String path) {
    long asOf = System.nanoTime() - lagNanos;
    String since = path.contains("since=") ? path.replaceAll(".*since=([^&]*).*", "$1") : "";
    List<Object> rows = new ArrayList<>();
    machines.forEach(
        (id, entry) -> {
          if (id.compareTo(since) > 0 && entry.rentedNanos <= asOf && entry.goneNanos > asOf) {
            rows.add(
                J.of(
                    "id", id, "addr", entry.machine.address(), "build", entry.machine.type.name(), "berth", entry.zone,
                    "driftwood", entry.spot, "trim", trim(entry, asOf),
                    "held_s", (asOf - entry.rentedNanos) / 1e9));
          }
        });
    return Web.Answer.of(200, J.of("fleet", rows, "more", false));
  }
}
