package madderrudder.service;

import madderrudder.protocol.Json;
import madderrudder.transport.HttpResponse;

/** Responses that several endpoints give. */
final class Responses {
  private static final int RETRY_AFTER_S = 1;

  private Responses() {}

  /** 503 with a reason, to be tried again after a second. */
  static HttpResponse unavailable(String why) {
    return new HttpResponse(503, Json.error(why), RETRY_AFTER_S, false);
  }

  /** An error with a reason. */
  static HttpResponse error(int status, String why) {
    return HttpResponse.of(status, Json.error(why));
  }
}
