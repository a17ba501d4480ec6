package madderrudder.protocol;

/** A message whose text or fields are not what the protocol says. */
public final class MalformedMessageException extends Exception {
  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
