package madderrudder.transport;

import java.util.function.Consumer;

/** What answers requests. The answer may come later, but comes at most once. */
public interface HttpHandler {
  void handle(HttpRequest request, Consumer<HttpResponse> answer);
}
