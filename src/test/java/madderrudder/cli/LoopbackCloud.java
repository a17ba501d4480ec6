package madderrudder.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.transport.HttpHandler;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;

/**
 * A cloud provider for real processes on loopback: one machine type in two zones, machines that are
 * up at once, and a list without delay. Confined to the thread of the HTTP server that it handles
 * requests for.
 */
final class LoopbackCloud implements HttpHandler {
  private static final String TYPE = "big";
  private static final int FIRST_RENTED_NUMBER = 100;

  private final BootListener onBoot;
  private final Map<String, Machine> machines = new TreeMap<>();
  private final Map<String, List<String>> rentalsByRequest = new LinkedHashMap<>();
  private int nextRentedNumber = FIRST_RENTED_NUMBER;

  private record Machine(String zone, boolean spot) {}

  /** Receives each machine that is up. */
  interface BootListener {
    /**
     * Called on the thread that creates the cloud for an owned machine, on the server's thread for
     * a rented one.
     */
    void machineUp(String id, String zone, boolean spot);
  }

  /**
   * @param owned the ids of the machines that exist from the start, in the first zone
   * @param onBoot receives the owned machines at once, and each rented machine
   */
  LoopbackCloud(List<String> owned, BootListener onBoot) {
    this.onBoot = onBoot;
    owned.forEach(id -> add(id, new Machine("east", false)));
  }

  private void add(String id, Machine machine) {
    machines.put(id, machine);
    onBoot.machineUp(id, machine.zone(), machine.spot());
  }

  @Override
  public void handle(HttpRequest request, Consumer<HttpResponse> answer) {
    try {
      answer.accept(HttpResponse.of(200, respond(request)));
    } catch (MalformedMessageException e) {
      answer.accept(HttpResponse.of(400, Json.error(e.getMessage())));
    }
  }

  private byte[] respond(HttpRequest request) throws MalformedMessageException {
    return switch (request.path()) {
      case "/catalog" -> catalog();
      case "/machines/delete" -> delete(Json.readObject(request.body()));
      default -> request.method().equals("GET") ? list() : rent(Json.readObject(request.body()));
    };
  }

  private static byte[] catalog() {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("builds");
          out.writeStartObject();
          out.writeStringField("label", TYPE);
          out.writeNumberField("cores", 16.0);
          out.writeNumberField("mem_gb", 64.0);
          out.writeNumberField("local_gb", 30.0);
          out.writeNumberField("fetch_gb_per_s", 0.5);
          out.writeNumberField("price", 1.6);
          out.writeNumberField("spot_price", 0.5);
          out.writeNumberField("startup_s", 8.0);
          out.writeArrayFieldStart("berths");
          out.writeString("east");
          out.writeString("west");
          out.writeEndArray();
          out.writeEndObject();
          out.writeEndArray();
        });
  }

  private byte[] list() {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("fleet");
          for (Map.Entry<String, Machine> machine : machines.entrySet()) {
            out.writeStartObject();
            out.writeStringField("id", machine.getKey());
            out.writeStringField("build", TYPE);
            out.writeStringField("berth", machine.getValue().zone());
            out.writeBooleanField("driftwood", machine.getValue().spot());
            out.writeStringField("trim", "running");
            out.writeEndObject();
          }
          out.writeEndArray();
          out.writeBooleanField("more", false);
        });
  }

  private byte[] rent(JsonFields in) throws MalformedMessageException {
    String request = in.text("charter");
    List<String> ids = rentalsByRequest.get(request);
    if (ids == null) {
      ids = new ArrayList<>();
      for (long i = 0; i < in.count("how_many"); i++) {
        ids.add(String.format("m-%06d", nextRentedNumber++));
      }
      Machine machine = new Machine(in.text("berth"), in.flag("driftwood"));
      ids.forEach(id -> add(id, machine));
      rentalsByRequest.put(request, ids);
    }
    return machineIds(ids);
  }

  private byte[] delete(JsonFields in) throws MalformedMessageException {
    in.texts("fleet").forEach(machines::remove);
    return Json.object(out -> {});
  }

  private static byte[] machineIds(List<String> ids) {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("fleet");
          for (String id : ids) {
            out.writeString(id);
          }
          out.writeEndArray();
        });
  }
}
