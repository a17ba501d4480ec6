package madderrudder.service;

import java.util.function.Consumer;
import madderrudder.protocol.Heartbeat;
import madderrudder.transport.HttpResponse;

/**
 * A worker's heartbeat that is not answered yet.
 *
 * @param heartbeat the decoded heartbeat
 * @param body the encoded heartbeat as the worker sent it
 * @param callback receives the response
 */
record ReceivedHeartbeat(Heartbeat heartbeat, byte[] body, Consumer<HttpResponse> callback) {
  /** Answers the heartbeat with the encoded response of the leader or of its delegate. */
  void answer(byte[] response) {
    callback.accept(HttpResponse.of(200, response));
  }

  /** Redirects the worker with the encoded redirect. */
  void redirect(byte[] redirect) {
    callback.accept(HttpResponse.of(421, redirect));
  }
}
