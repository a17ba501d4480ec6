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

/**
 * Client of the cloud's rental API, kept below the rate that the cloud enforces. Calls wait in a
 * bounded queue. When the queue is full, a call is not sent, and its result is delivered before the
 * method returns. Each call delivers exactly one result. Confined to the event loop thread.
 */
public final class CloudClient {
  private static final long CALL_TIMEOUT_MICROS = 4_000_000;

  /** The maximum number of machines that the cloud returns in one page. */
  private static final int LIST_PAGE_SIZE = 500;

  /** The share of the permitted rate that is used, so that the cloud does not answer 429. */
  private static final double USED_RATE_SHARE = 0.8;

  private final HttpCaller http;
  private final String address;
  private final RateLimiter rateLimiter;

  /**
   * Creates a client without sending a request.
   *
   * @param scheduler clock and timers of the event loop
   * @param http sends the requests
   * @param address host and port of the cloud
   * @param requestsPerSecond the rate above which the cloud refuses requests; a burst of one
   *     second's requests is sent at once
   */
  public CloudClient(
      Scheduler scheduler, HttpCaller http, String address, double requestsPerSecond) {
    this.http = http;
    this.address = address;
    rateLimiter =
        new RateLimiter(scheduler, requestsPerSecond * USED_RATE_SHARE, requestsPerSecond);
  }

  /**
   * Rents machines. The request is idempotent: the cloud answers a repeated id with the machines it
   * rented the first time.
   *
   * @param requestId the idempotency key of the request, never reused for another request
   * @param request the machines to rent
   * @param onResult receives the outcome
   */
  public void rent(String requestId, ScaleOutRequest request, Consumer<RentResult> onResult) {
    byte[] body =
        CloudCodec.rentRequest(
            requestId, request.type().name(), request.zone(), request.spot(), request.count());
    call(
        HttpRequest.post("/machines", body),
        response -> onResult.accept(CloudResponses.rent(response)));
  }

  /**
   * Deletes machines. The request can be repeated, because the cloud ignores unknown machines.
   *
   * @param machineIds the machines, at most 100
   * @param onResult receives the outcome
   */
  public void delete(List<String> machineIds, Consumer<DeleteResult> onResult) {
    call(
        HttpRequest.post("/machines/delete", CloudCodec.deleteRequest(machineIds)),
        response -> onResult.accept(CloudResponses.delete(response)));
  }

  /**
   * Reads one page of the machine list, in the order of machine ids.
   *
   * @param afterId the machine after which the page begins; empty for the first page
   * @param onResult receives the page
   */
  public void list(String afterId, Consumer<CloudResult<CloudCodec.Page>> onResult) {
    String sinceParameter = afterId.isEmpty() ? "" : "&since=" + afterId;
    call(
        HttpRequest.get("/machines?most=" + LIST_PAGE_SIZE + sinceParameter),
        response -> onResult.accept(CloudResponses.list(response)));
  }

  /**
   * Reads the catalog of machine types with their current prices.
   *
   * @param onResult receives the catalog, whose machine types are not validated yet
   */
  public void catalog(Consumer<CloudResult<CatalogDocument>> onResult) {
    call(
        HttpRequest.get("/catalog"), response -> onResult.accept(CloudResponses.catalog(response)));
  }

  private void call(HttpRequest request, Consumer<HttpResponse> onResponse) {
    boolean queued =
        rateLimiter.run(1, () -> http.call(address, request, CALL_TIMEOUT_MICROS, onResponse));
    if (!queued) {
      onResponse.accept(HttpResponse.notSent());
    }
  }
}
