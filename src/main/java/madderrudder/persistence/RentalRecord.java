package madderrudder.persistence;

import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;

/** An open rental: committed before the cloud is called, dropped once its answer is recorded. */
public record RentalRecord(
    String request, String type, String zone, boolean spot, int count, boolean counted) {
  public byte[] render() {
    return Json.object(
        out -> {
          out.writeStringField("type", type);
          out.writeStringField("zone", zone);
          out.writeBooleanField("spot", spot);
          out.writeNumberField("count", count);
          out.writeBooleanField("counted", counted);
        });
  }

  public static RentalRecord read(String request, Fields in) throws MalformedMessageException {
    return new RentalRecord(
        request,
        in.text("type"),
        in.text("zone"),
        in.flag("spot"),
        in.smallCount("count"),
        in.flag("counted"));
  }
}
