package madderrudder.transport;

/** An HTTP message that can't be read. The message says why, without what the sender wrote. */
final class HttpParseException extends Exception {
  private final int status;

  /**
   * A message that can't be read.
   *
   * @param status the HTTP status of the answer to it, if it was a request
   * @param message what is wrong with it; it goes into the answer's JSON text as it is
   */
  HttpParseException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** The HTTP status of the answer to the message, if it was a request. */
  int status() {
    return status;
  }
}
