package madderrudder.transport;

/**
 * An HTTP response, or the reason why a request got none.
 *
 * @param status the HTTP status; {@link #NO_RESPONSE} or {@link #NOT_SENT} if there is no response
 * @param body the body; empty if there is none
 * @param retryAfterS the value of the {@code Retry-After} header in seconds; 0 means no header
 * @param closesConnection whether the server closes the connection after this response
 */
public record HttpResponse(int status, byte[] body, int retryAfterS, boolean closesConnection) {
  /**
   * Status of a request that was sent and got no response: the server may have processed it, may
   * still process it, or may never do so.
   */
  public static final int NO_RESPONSE = -1;

  /** Status of a request that was not sent, because no connection was established. */
  public static final int NOT_SENT = -2;

  private static final byte[] EMPTY_BODY = new byte[0];

  /** Creates a response that has no {@code Retry-After} header and keeps the connection open. */
  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0, false);
  }

  /** Creates a result with status {@link #NO_RESPONSE}. */
  public static HttpResponse noResponse() {
    return of(NO_RESPONSE, EMPTY_BODY);
  }

  /** Creates a result with status {@link #NOT_SENT}. */
  public static HttpResponse notSent() {
    return of(NOT_SENT, EMPTY_BODY);
  }

  /** Returns whether the status is 200. */
  public boolean isOk() {
    return status == 200;
  }
}
