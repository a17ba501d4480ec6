package madderrudder.transport;

/** One response. {@code retryAfterS} is sent as a header when it is above 0. */
public record HttpResponse(int status, byte[] body, int retryAfterS, boolean close) {
  /** The peer never answered: it may or may not have acted on the request, and may act later. */
  public static final int SILENT = -1;

  /** No connection came about, so the request surely never left this process. */
  public static final int NOT_SENT = -2;

  private static final byte[] EMPTY = new byte[0];

  public static HttpResponse of(int status, byte[] body) {
    return new HttpResponse(status, body, 0, false);
  }

  public static HttpResponse silent() {
    return of(SILENT, EMPTY);
  }

  public static HttpResponse notSent() {
    return of(NOT_SENT, EMPTY);
  }

  public boolean ok() {
    return status == 200;
  }
}
