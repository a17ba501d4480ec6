package madderrudder.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * The simulated cloud provider: two machine types in two zones, pools of limited capacity, a
 * machine list that lags behind, and machines that boot slowly or not at all.
 */
final class SimCloud implements HttpHandler {
  private static final Map<String, Resources> CAPACITY_BY_TYPE =
      Map.of("small", Resources.of(4, 0, 16), "big", Resources.of(16, 0, 64));

  private static final double DEFAULT_BOOT_FAILURE_RATE = 0.05;

  private final SimScheduler scheduler;
  private final SimNetwork network;
  private final InvariantChecker invariants;
  private final Deployment deployment;
  private final Map<String, String> controllerAddresses;

  /** The most machines of each type, zone and purchase kind. */
  private final int capacityPerPool;

  private final TreeMap<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> rentalsByRequest = new HashMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private int machinesCreated;
  private int ownedMachines;

  /** The number of machines that were returned without having started a task. */
  int returnedUnused;

  /** The number of requests. */
  int requests;

  private boolean unavailable;
  private double bootFailureRate = DEFAULT_BOOT_FAILURE_RATE;
  private double bootTimeFactor = 1;

  /** A machine. Its worker is null while it boots, and remains null if the boot fails. */
  private static final class Machine {
    final String id;
    final String type;
    final String zone;
    final boolean spot;
    SimWorker worker;

    Machine(String id, String type, String zone, boolean spot) {
      this.id = id;
      this.type = type;
      this.zone = zone;
      this.spot = spot;
    }
  }

  /** The machine list at a time, as the answer to a request. */
  private record Snapshot(long atMicros, byte[] body) {}

  SimCloud(
      SimScheduler scheduler,
      SimNetwork network,
      InvariantChecker invariants,
      Deployment deployment,
      Map<String, String> controllerAddresses,
      int capacityPerPool) {
    this.capacityPerPool = capacityPerPool;
    this.scheduler = scheduler;
    this.network = network;
    this.invariants = invariants;
    this.deployment = deployment;
    this.controllerAddresses = controllerAddresses;
  }

  /** Creates the owned machines, which are up immediately. */
  void start(int ownedMachines) {
    this.ownedMachines = ownedMachines;
    for (int i = 0; i < ownedMachines; i++) {
      completeBoot(addMachine(i % 2 == 0 ? "small" : "big", deployment.zones().get(i % 2), false));
    }
    snapshot();
  }

  /** Answers all requests with status 503. */
  void outage(long durationMicros) {
    unavailable = true;
    scheduler.after(durationMicros, () -> unavailable = false);
  }

  /**
   * For the given time, this share of newly rented machines never boots, and the boot time of the
   * others is multiplied by the factor.
   */
  void overrideBoots(double failureRate, double timeFactor, long durationMicros) {
    bootFailureRate = failureRate;
    bootTimeFactor = timeFactor;
    scheduler.after(
        durationMicros,
        () -> {
          bootFailureRate = DEFAULT_BOOT_FAILURE_RATE;
          bootTimeFactor = 1;
        });
  }

  /** Whether the machine is owned: it existed from the start and is never returned. */
  boolean isOwned(SimWorker worker) {
    return worker.id.compareTo(String.format("m-%06d", ownedMachines)) < 0;
  }

  /** The number of machines created so far, including those that never booted. */
  int machinesCreated() {
    return machinesCreated;
  }

  /** The workers of all machines that are up, in the order of machine ids. */
  List<SimWorker> workers() {
    return machines.values().stream()
        .map(m -> m.worker)
        .filter(w -> w != null && !w.isTerminated())
        .toList();
  }

  /** Terminates the machine: the cloud reclaims it, the leader returns it, or it fails. */
  void terminate(SimWorker worker) {
    network.stopServing(worker.address);
    worker.terminate();
    if (worker.spot) {
      machines.remove(worker.id);
    }
  }

  /** Creates a machine, which is not up yet. */
  private Machine addMachine(String type, String zone, boolean spot) {
    Machine machine = new Machine(String.format("m-%06d", machinesCreated++), type, zone, spot);
    machines.put(machine.id, machine);
    return machine;
  }

  /** Starts the worker of the machine, unless the machine has been returned. */
  private void completeBoot(Machine machine) {
    if (machines.get(machine.id) == machine) {
      machine.worker =
          new SimWorker(
              scheduler,
              network,
              invariants,
              deployment.workers(),
              machine.id,
              "10.1.0."
                  + machinesCreated
                  + ":"
                  + (9000 + Integer.parseInt(machine.id.substring(2))),
              machine.type,
              machine.zone,
              machine.spot,
              CAPACITY_BY_TYPE.get(machine.type),
              controllerAddresses);
    }
  }

  /** Records the machine list every second, for {@link #list}. */
  private void snapshot() {
    snapshots.add(
        new Snapshot(
            scheduler.nowMicros,
            Json.object(
                out -> {
                  out.writeArrayFieldStart("fleet");
                  for (Machine machine : machines.values()) {
                    out.writeStartObject();
                    out.writeStringField("id", machine.id);
                    out.writeStringField("build", machine.type);
                    out.writeStringField("berth", machine.zone);
                    out.writeBooleanField("driftwood", machine.spot);
                    out.writeStringField("trim", machine.worker == null ? "booting" : "running");
                    out.writeEndObject();
                  }
                  out.writeEndArray();
                  out.writeBooleanField("more", false);
                })));
    if (snapshots.size() > 20) {
      snapshots.remove(0);
    }
    scheduler.after(1_000_000, this::snapshot);
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    requests++;
    scheduler.after(
        80_000,
        () ->
            answer.accept(
                unavailable ? HttpResponse.of(503, Json.error("unavailable")) : handle(request)));
  }

  private HttpResponse handle(HttpRequest request) {
    try {
      return switch (request.path()) {
        case "/catalog" -> HttpResponse.of(200, catalog());
        case "/machines/delete" -> {
          for (String id : Json.readObject(request.body()).texts("fleet")) {
            Machine machine = machines.remove(id);
            if (machine != null) {
              returnedUnused += machine.worker == null || machine.worker.starts == 0 ? 1 : 0;
            }
            if (machine != null && machine.worker != null) {
              terminate(machine.worker);
            }
          }
          yield HttpResponse.of(200, new byte[] {'{', '}'});
        }
        default -> request.method().equals("GET") ? list() : rent(Json.readObject(request.body()));
      };
    } catch (MalformedMessageException e) {
      throw new AssertionError("the cloud received a malformed request", e);
    }
  }

  /** The machine list as it was between one and two lag times ago. */
  private HttpResponse list() {
    long lag = deployment.cloud().listLagMicros();
    Snapshot newestVisible = snapshots.get(0);
    for (Snapshot snapshot : snapshots) {
      if (snapshot.atMicros() <= scheduler.nowMicros - lag - scheduler.random.nextLong(lag)) {
        newestVisible = snapshot;
      }
    }
    return HttpResponse.of(200, newestVisible.body());
  }

  /** Rents machines; a repeated request id returns the machines of the first request. */
  private HttpResponse rent(JsonFields in) throws MalformedMessageException {
    String requestId = in.text("charter");
    List<String> rented = rentalsByRequest.get(requestId);
    if (rented == null) {
      long existing =
          machines.values().stream()
              .filter(
                  m -> {
                    try {
                      return m.type.equals(in.text("build"))
                          && m.zone.equals(in.text("berth"))
                          && m.spot == in.flag("driftwood");
                    } catch (MalformedMessageException e) {
                      throw new AssertionError(e);
                    }
                  })
              .count();
      rented = new ArrayList<>();
      for (long i = existing; i < capacityPerPool && rented.size() < in.count("how_many"); i++) {
        Machine machine = addMachine(in.text("build"), in.text("berth"), in.flag("driftwood"));
        rented.add(machine.id);
        if (!scheduler.chance(bootFailureRate)) {
          scheduler.after(
              (long) (bootTimeFactor * (1_000_000 + scheduler.random.nextLong(15_000_000))),
              () -> completeBoot(machine));
        }
      }
      if (rented.isEmpty()) {
        return HttpResponse.of(503, Json.error("no capacity"));
      }
      rentalsByRequest.put(requestId, rented);
    }
    List<String> ids = rented;
    return HttpResponse.of(
        200,
        Json.object(
            out -> {
              out.writeArrayFieldStart("fleet");
              for (String id : ids) {
                out.writeString(id);
              }
              out.writeEndArray();
            }));
  }

  private byte[] catalog() {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("builds");
          for (String type : List.of("small", "big")) {
            Resources capacity = CAPACITY_BY_TYPE.get(type);
            out.writeStartObject();
            out.writeStringField("label", type);
            out.writeNumberField("cores", capacity.cpus());
            out.writeNumberField("mem_gb", capacity.memoryGb());
            out.writeNumberField("local_gb", 30.0);
            out.writeNumberField("fetch_gb_per_s", 0.5);
            out.writeNumberField("price", capacity.cpus().doubleValue() / 10);
            out.writeNumberField("spot_price", capacity.cpus().doubleValue() / 30);
            out.writeNumberField("startup_s", 8.0);
            out.writeArrayFieldStart("berths");
            for (String zone : deployment.zones()) {
              out.writeString(zone);
            }
            out.writeEndArray();
            out.writeEndObject();
          }
          out.writeEndArray();
        });
  }
}
