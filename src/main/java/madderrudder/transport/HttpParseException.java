package madderrudder.transport;

/**
 * Reports an HTTP message that is malformed or exceeds a limit. The exception text names the fault
 * and repeats nothing that the sender wrote, so it needs no escaping in JSON.
 */
final class HttpParseException extends Exception {
  private final int status;

  /**
   * Creates an exception for a message that can't be parsed.
   *
   * @param status the HTTP status of the response, if the message is a request
   * @param message the fault, which is copied into the JSON body of the response without escaping
   */
  HttpParseException(int status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the HTTP status of the response, if the message is a request. */
  int status() {
    return status;
  }
}
