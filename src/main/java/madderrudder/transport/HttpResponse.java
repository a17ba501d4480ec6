package madderrudder.transport;

/**
 * One HTTP response, or the lack of one.
 *
 * @param status the status; {@link #NO_RESPONSE} or {@link #NOT_SENT} where there is no response
 * @param body the body; empty if there is none
 * @param retryAfterS the seconds after which to try again, sent as a header if they are above 0
 * @param close whether the server closes the connection after it
 */
public record HttpResponse(int status, byte[] body, int retryAfterS, boolean close) {
  /**
   * The status of a request that was sent and not answered: the server may or may not have acted on
   * it, and may yet act later.
   */
  public static final int NO_RESPONSE = -1;

  /** The status of a request that was not sent: no connection came about. */
  public static final int NOT_SENT = -2;

  private static final byte[] EMPTY = new byte[0];

  /** A response with a status and a body. */
  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0, false);
  }

  /** Stands for the response to a request that was sent and not answered. */
  public static HttpResponse noResponse() {
    return of(NO_RESPONSE, EMPTY);
  }

  /** Stands for the response to a request that was not sent. */
  public static HttpResponse notSent() {
    return of(NOT_SENT, EMPTY);
  }

  /** Whether the status is 200. */
  public boolean ok() {
    return status == 200;
  }
}
