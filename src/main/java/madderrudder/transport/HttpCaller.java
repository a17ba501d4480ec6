package madderrudder.transport;

import java.util.function.Consumer;

/** Sends HTTP requests. */
public interface HttpCaller {
  /**
   * Sends a request.
   *
   * @param address the server's address, see {@link Addresses}
   * @param timeoutMicros how long to wait for the response, from now on
   * @param answer gets exactly one response, later and on the event loop; {@link
   *     HttpResponse#noResponse()} or {@link HttpResponse#notSent()} if the server gave none
   */
  void call(String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer);
}
