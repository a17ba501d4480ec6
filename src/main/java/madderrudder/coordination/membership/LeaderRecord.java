package madderrudder.coordination.membership;

import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;

/**
 * The value of the leader key in the store.
 *
 * @param term the term in which the member leads
 * @param member the name of the controller that leads
 */
record LeaderRecord(long term, String member) {
  /**
   * Parses the value of the leader key.
   *
   * @throws MalformedMessageException if a field is missing or has the wrong type
   */
  static LeaderRecord read(KeyValue item) throws MalformedMessageException {
    return new LeaderRecord(item.value().count("term"), item.value().text("member"));
  }

  /** Returns the record as the JSON value that is stored. */
  byte[] encode() {
    return Json.object(
        out -> {
          out.writeNumberField("term", term);
          out.writeStringField("member", member);
        });
  }
}
