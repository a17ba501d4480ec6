package madderrudder.protocol;

/** A message whose text or fields are not what the protocol says. */
public final class MalformedMessage extends Exception {
  public MalformedMessage(String message) {
    super(message, null, false, false);
  }
}
