package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards heartbeats to the leader for workers that can't reach it, and, on the leader, returns
 * the responses to the controllers that forwarded them. Confined to the event loop thread.
 */
final class HeartbeatForwarder {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatForwarder.class);

  /** Less than the 4 s that a worker waits, so that it gets a response after a timeout too. */
  private static final long RESPONSE_TIMEOUT_MICROS = 1_500_000;

  private final Scheduler scheduler;
  private final PeerMessenger peerMessenger;
  private final String member;
  private final ProcessScopedIds requestIds;
  private final Map<Long, Callback> inFlight = new HashMap<>();
  private long ignoredResponses;
  private long responsesForOtherProcesses;

  /** Receives the outcome of a forwarded heartbeat: exactly one method is called, once. */
  interface Callback {
    /** The leader's encoded response; empty if the leader refused to answer the heartbeat. */
    void onResponse(Optional<byte[]> response);

    /** No response of the leader arrived in time. */
    void onTimeout();
  }

  /**
   * Creates a forwarder that has forwarded nothing.
   *
   * @param member this controller's name, to which leaders respond
   * @param incarnation a random number that distinguishes this process from others with the same
   *     name
   */
  HeartbeatForwarder(
      Scheduler scheduler, PeerMessenger peerMessenger, String member, long incarnation) {
    this.scheduler = scheduler;
    this.peerMessenger = peerMessenger;
    this.member = member;
    requestIds = new ProcessScopedIds(incarnation);
  }

  /**
   * Writes the number of heartbeats that this process has forwarded, the number of responses that
   * it ignored because no heartbeat waited for them, and how many of these another process of this
   * controller had asked for.
   */
  void writeCounters(JsonGenerator out) throws IOException {
    out.writeNumberField("reports_passed_on", requestIds.issuedCount());
    out.writeNumberField("forwarded_responses_ignored", ignoredResponses);
    out.writeNumberField("forwarded_responses_for_other_processes", responsesForOtherProcesses);
  }

  /** Whether the encoded heartbeat fits into a message between controllers. */
  static boolean canForward(byte[] body) {
    return PeerMessageCodec.canForward(body.length);
  }

  /**
   * Forwards a heartbeat to the leader.
   *
   * @param machine the machine that sent the heartbeat
   * @param body the heartbeat in the encoding that the worker sent
   */
  void forward(String leader, String machine, byte[] body, Callback callback) {
    long requestId = requestIds.next();
    LOG.debug("forwarding a heartbeat of {} to {} as request {}", machine, leader, requestId);
    inFlight.put(requestId, callback);
    String text = new String(body, StandardCharsets.UTF_8);
    peerMessenger.send(
        leader, PeerMessageCodec.encode(new ForwardedHeartbeat(member, requestId, text)));
    scheduler.runAfter(
        RESPONSE_TIMEOUT_MICROS,
        () -> {
          if (inFlight.remove(requestId) != null) {
            callback.onTimeout();
          }
        });
  }

  /**
   * Handles the leader's response. One that arrives after the timeout is ignored, and so is one to
   * a request of an earlier process of this controller: the worker that waits for a response now is
   * usually another one, and must not get its commands.
   */
  void receive(ForwardedResponse response) {
    Callback callback = inFlight.remove(response.requestId());
    if (callback == null) {
      ignore(response.requestId());
      return;
    }
    LOG.debug("received the response to request {}", response.requestId());
    callback.onResponse(
        Optional.of(response.responseBody())
            .filter(text -> !text.isEmpty())
            .map(text -> text.getBytes(StandardCharsets.UTF_8)));
  }

  private void ignore(long requestId) {
    ignoredResponses++;
    if (requestIds.hasIssued(requestId)) {
      LOG.debug("ignored the response to request {}, which is not in flight", requestId);
      return;
    }
    responsesForOtherProcesses++;
    if (responsesForOtherProcesses == 1) {
      LOG.info(
          "ignored the response to request {} of another process of this controller (further ones"
              + " at level debug)",
          requestId);
    } else {
      LOG.debug(
          "ignored the response to request {} of another process of this controller", requestId);
    }
  }

  /**
   * Sends this leader's response to the controller that forwarded the heartbeat. A response that
   * does not fit into a message is not sent. An empty response means that the heartbeat must not be
   * answered, neither by this leader nor by a delegate.
   *
   * @param machine the machine that sent the heartbeat
   */
  void respond(ForwardedHeartbeat forwardedHeartbeat, String machine, Optional<byte[]> response) {
    byte[] body = response.orElse(new byte[0]);
    LOG.debug(
        "responding to request {} of {}, a heartbeat of {}",
        forwardedHeartbeat.requestId(),
        forwardedHeartbeat.member(),
        machine);
    if (PeerMessageCodec.canForward(body.length)) {
      String text = new String(body, StandardCharsets.UTF_8);
      ForwardedResponse forwardedResponse =
          new ForwardedResponse(forwardedHeartbeat.requestId(), text);
      peerMessenger.send(forwardedHeartbeat.member(), PeerMessageCodec.encode(forwardedResponse));
    }
  }
}
