package madderrudder.protocol;

import java.util.ArrayList;
import java.util.List;

/** Messages exchanged with the cloud. */
public final class CloudCodec {
  /** How a listed machine stands. */
  public enum State {
    BOOTING,
    RUNNING,
    FAILED
  }

  /** A machine as the list gives it. */
  public record Listed(
      String id,
      String addr,
      String type,
      String zone,
      boolean spot,
      State state,
      long ageMicros) {}

  /** A page of the machine list. */
  public record Page(List<Listed> machines, boolean more) {}

  private CloudCodec() {}

  public static List<MachineType> readCatalog(Fields body) throws MalformedMessageException {
    List<MachineType> types = new ArrayList<>();
    for (Fields in : body.objects("builds")) {
      types.add(
          new MachineType(
              in.text("label"),
              Resources.of(in.amount("cores"), in.amount("accelerators", 0), in.amount("mem_gb")),
              in.amount("local_gb", 0),
              in.amount("fetch_gb_per_s", 1),
              in.amount("price"),
              in.amount("spot_price", in.amount("price")),
              in.secondsAsMicros("startup_s"),
              List.copyOf(in.texts("berths"))));
    }
    return types;
  }

  public static byte[] rent(String request, String type, String zone, boolean spot, int count) {
    return Json.object(
        out -> {
          out.writeStringField("charter", request);
          out.writeStringField("build", type);
          out.writeStringField("berth", zone);
          out.writeBooleanField("driftwood", spot);
          out.writeNumberField("how_many", count);
        });
  }

  public static List<String> readRented(byte[] body) throws MalformedMessageException {
    return Json.readObject(body).texts("fleet");
  }

  public static byte[] delete(List<String> machines) {
    return Json.object(
        out -> {
          out.writeArrayFieldStart("fleet");
          for (String machine : machines) {
            out.writeString(machine);
          }
          out.writeEndArray();
        });
  }

  public static Page readPage(byte[] body) throws MalformedMessageException {
    Fields in = Json.readObject(body);
    List<Listed> machines = new ArrayList<>();
    for (Fields machine : in.objects("fleet")) {
      State state =
          switch (machine.text("trim")) {
            case "booting" -> State.BOOTING;
            case "failed" -> State.FAILED;
            default -> State.RUNNING;
          };
      machines.add(
          new Listed(
              machine.text("id"),
              machine.text("addr", ""),
              machine.text("build"),
              machine.text("berth"),
              machine.flag("driftwood", false),
              state,
              machine.secondsAsMicros("held_s", 0)));
    }
    return new Page(machines, in.flag("more", false));
  }
}
