package madderrudder.transport;

/**
 * An HTTP request.
 *
 * @param method the method, for example {@code GET}
 * @param target the request target: path and query string
 * @param body the body; empty if there is none
 * @param closesConnection whether the client requests that the connection be closed after the
 *     response
 */
public record HttpRequest(String method, String target, byte[] body, boolean closesConnection) {
  private static final byte[] EMPTY_BODY = new byte[0];

  /** Creates a GET request. */
  public static HttpRequest get(String target) {
    return new HttpRequest("GET", target, EMPTY_BODY, false);
  }

  /** Creates a POST request. */
  public static HttpRequest post(String target, byte[] body) {
    return new HttpRequest("POST", target, body, false);
  }

  /** Creates a DELETE request without a body. */
  public static HttpRequest delete(String target) {
    return new HttpRequest("DELETE", target, EMPTY_BODY, false);
  }

  /** Returns the target without its query string. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
