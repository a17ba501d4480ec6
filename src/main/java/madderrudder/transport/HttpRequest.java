package madderrudder.transport;

/**
 * One HTTP request.
 *
 * @param method the method, for example {@code GET}
 * @param target the path with its query string
 * @param body the body; empty if there is none
 * @param close whether the client wants the connection closed after the response
 */
public record HttpRequest(String method, String target, byte[] body, boolean close) {
  private static final byte[] EMPTY = new byte[0];

  /** A GET request. */
  public static HttpRequest get(String target) {
    return new HttpRequest("GET", target, EMPTY, false);
  }

  /** A POST request. */
  public static HttpRequest post(String target, byte[] body) {
    return new HttpRequest("POST", target, body, false);
  }

  /** A DELETE request without a body. */
  public static HttpRequest delete(String target) {
    return new HttpRequest("DELETE", target, EMPTY, false);
  }

  /** The target without its query string. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
