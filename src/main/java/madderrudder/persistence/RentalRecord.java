package madderrudder.persistence;

import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * A pending rental. It is committed before the cloud is called and deleted once the cloud's
 * response is recorded.
 *
 * @param requestId the request id, the idempotency key of calls to the cloud
 * @param type the name of the machine type
 * @param zone the zone
 * @param spot whether spot machines are requested
 * @param count the number of machines
 * @param countsAgainstBudget whether they count against the rental budget
 */
public record RentalRecord(
    String requestId,
    String type,
    String zone,
    boolean spot,
    int count,
    boolean countsAgainstBudget) {
  /**
   * Encodes the record without the request id, which is part of its key. The JSON layout is stored
   * and must not change.
   */
  public byte[] encode() {
    return Json.object(
        out -> {
          out.writeStringField("type", type);
          out.writeStringField("zone", zone);
          out.writeBooleanField("spot", spot);
          out.writeNumberField("count", count);
          out.writeBooleanField("counted", countsAgainstBudget);
        });
  }

  /**
   * Decodes the record stored under a request id.
   *
   * @throws MalformedMessageException if the record is not valid
   */
  public static RentalRecord read(String requestId, JsonFields in)
      throws MalformedMessageException {
    return new RentalRecord(
        requestId,
        in.text("type"),
        in.text("zone"),
        in.flag("spot"),
        in.intCount("count"),
        in.flag("counted"));
  }
}
