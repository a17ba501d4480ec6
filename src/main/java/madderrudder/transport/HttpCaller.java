package madderrudder.transport;

import java.util.function.Consumer;

/**
 * What sends requests to an address and delivers exactly one response, a silent one when time is
 * up.
 */
public interface HttpCaller {
  void call(String address, HttpRequest request, long timeoutMicros, Consumer<HttpResponse> answer);
}
