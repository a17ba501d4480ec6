package madderrudder.transport;

import java.util.function.Consumer;

/** Answers HTTP requests, on the event loop. */
public interface HttpHandler {
  /** Answers a request, at once or later, at most once. */
  void handle(HttpRequest request, Consumer<HttpResponse> answer);
}
