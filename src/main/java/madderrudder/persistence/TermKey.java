package madderrudder.persistence;

import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;

/**
 * Encodes and decodes the value of the term key ({@link Keys#TERM}): the current term, the name of
 * its leader and a serial number that each commit of the leader increments. The JSON layout ({@code
 * term}, {@code member}, {@code serial}) is stored and must not change.
 */
public final class TermKey {
  private TermKey() {}

  /**
   * Encodes the value.
   *
   * @param term the leader's term
   * @param member the leader's name
   * @param serial the number of the commit within the term; 0 for the commit that claims the term
   */
  public static byte[] encode(long term, String member, long serial) {
    return Json.object(
        out -> {
          out.writeNumberField("term", term);
          out.writeStringField("member", member);
          out.writeNumberField("serial", serial);
        });
  }

  /**
   * Decodes the term.
   *
   * @throws MalformedMessageException if the field is missing or not a count
   */
  public static long readTerm(JsonFields value) throws MalformedMessageException {
    return value.count("term");
  }

  /**
   * Decodes the serial number.
   *
   * @throws MalformedMessageException if the field is missing or not a count
   */
  static long readSerial(JsonFields value) throws MalformedMessageException {
    return value.count("serial");
  }
}
