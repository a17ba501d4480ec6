package madderrudder.coordination.cloud;

import java.util.List;
import java.util.function.Consumer;
import madderrudder.coordination.state.ScaleOutRequest;
import madderrudder.persistence.RateLimiter;
import madderrudder.protocol.CloudCodec;
import madderrudder.transport.HttpCaller;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;

/** Calls to the cloud, kept under its rate. */
public final class CloudClient {
  private static final long CALL_MICROS = 4_000_000;
  private static final int PAGE = 500;

  private final HttpCaller calls;
  private final String address;
  private final RateLimiter pace;

  public CloudClient(
      Scheduler scheduler, HttpCaller calls, String address, double requestsPerSecond) {
    this.calls = calls;
    this.address = address;
    pace = new RateLimiter(scheduler, requestsPerSecond * 0.8, requestsPerSecond);
  }

  public void rent(String request, ScaleOutRequest rental, Consumer<HttpResponse> answer) {
    call(
        HttpRequest.post(
            "/machines",
            CloudCodec.rent(
                request, rental.type().name(), rental.zone(), rental.spot(), rental.count())),
        answer);
  }

  public void delete(List<String> machines, Consumer<HttpResponse> answer) {
    call(HttpRequest.post("/machines/delete", CloudCodec.delete(machines)), answer);
  }

  public void list(String since, Consumer<HttpResponse> answer) {
    call(
        HttpRequest.get("/machines?most=" + PAGE + (since.isEmpty() ? "" : "&since=" + since)),
        answer);
  }

  public void catalog(Consumer<HttpResponse> answer) {
    call(HttpRequest.get("/catalog"), answer);
  }

  private void call(HttpRequest request, Consumer<HttpResponse> answer) {
    if (!pace.run(1, () -> calls.call(address, request, CALL_MICROS, answer))) {
      answer.accept(HttpResponse.notSent());
    }
  }
}
