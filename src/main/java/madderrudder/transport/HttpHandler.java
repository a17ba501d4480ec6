package madderrudder.transport;

import java.util.function.Consumer;

/** Handles the requests of an HTTP server. Confined to the event loop thread. */
public interface HttpHandler {
  /**
   * Handles a request.
   *
   * @param respond takes the response, during this call or later, at most once
   */
  void handle(HttpRequest request, Consumer<HttpResponse> respond);
}
