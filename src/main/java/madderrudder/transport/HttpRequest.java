package madderrudder.transport;

/**
 * One request. The target keeps its query string; {@code close} asks to end the connection after
 * it.
 */
public record HttpRequest(String method, String target, byte[] body, boolean close) {
  private static final byte[] EMPTY = new byte[0];

  public static HttpRequest get(String target) {
    return new HttpRequest("GET", target, EMPTY, false);
  }

  public static HttpRequest post(String target, byte[] body) {
    return new HttpRequest("POST", target, body, false);
  }

  public static HttpRequest delete(String target) {
    return new HttpRequest("DELETE", target, EMPTY, false);
  }

  /** The target without its query string. */
  public String path() {
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }
}
