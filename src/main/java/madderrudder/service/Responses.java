package madderrudder.service;

import madderrudder.protocol.Json;
import madderrudder.transport.HttpResponse;

/** Error responses that several endpoints use. */
final class Responses {
  private static final int RETRY_AFTER_SECONDS = 1;

  private Responses() {}

  /** Status 503 with an error message and a Retry-After of 1 s. */
  static HttpResponse unavailable(String message) {
    return new HttpResponse(503, Json.error(message), RETRY_AFTER_SECONDS, false);
  }

  /** A response with an error status and message. */
  static HttpResponse error(int status, String message) {
    return HttpResponse.of(status, Json.error(message));
  }
}
