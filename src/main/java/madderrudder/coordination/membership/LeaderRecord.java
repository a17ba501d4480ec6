package madderrudder.coordination.membership;

import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.StoreCodec.KeyValue;

/**
 * The value of the leader's key in the store.
 *
 * @param term the term in which the member leads
 * @param member the leader's name
 */
record LeaderRecord(long term, String member) {
  /**
   * Reads the leader's key.
   *
   * @throws MalformedMessageException if a field is missing or of another kind
   */
  static LeaderRecord read(KeyValue item) throws MalformedMessageException {
    return new LeaderRecord(item.value().count("term"), item.value().text("member"));
  }

  /** The value as it is stored. */
  byte[] encode() {
    return Json.object(
        out -> {
          out.writeNumberField("term", term);
          out.writeStringField("member", member);
        });
  }
}
