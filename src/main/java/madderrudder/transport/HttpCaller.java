package madderrudder.transport;

import java.util.function.Consumer;

/** Sends HTTP requests and passes the responses to callbacks. Confined to the event loop thread. */
public interface HttpCaller {
  /**
   * Sends a request.
   *
   * @param address the server's address, in the form that {@link Addresses} parses
   * @param timeoutMicros the time from this call until the request fails without a response; it
   *     includes the time to connect
   * @param onResponse receives exactly one response, on the event loop thread and after this method
   *     has returned; {@link HttpResponse#noResponse()} or {@link HttpResponse#notSent()} if the
   *     server sent none
   */
  void call(
      String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> onResponse);
}
