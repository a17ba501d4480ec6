package madderrudder.service;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.PeerMessenger;
import madderrudder.transport.Scheduler;

/**
 * Forwards heartbeats to the leader for workers that can't reach it, and sends back its answers to
 * those forwarded here. Confined to the event loop thread.
 */
final class HeartbeatForwarder {
  /** Well within the four seconds that a worker waits. */
  private static final long TIMEOUT_MICROS = 1_500_000;

  private final Scheduler scheduler;
  private final PeerMessenger peers;
  private final String member;
  private final Map<Long, Callback> open = new HashMap<>();
  private long forwarded;

  /** Gets what becomes of a forwarded heartbeat; one of the methods is called, once. */
  interface Callback {
    /** The leader's encoded answer; empty if it does not answer this heartbeat. */
    void answered(Optional<byte[]> answer);

    /** The leader was silent. */
    void timedOut();
  }

  /** {@code member} is this controller's name, to which leaders answer. */
  HeartbeatForwarder(Scheduler scheduler, PeerMessenger peers, String member) {
    this.scheduler = scheduler;
    this.peers = peers;
    this.member = member;
  }

  /** How many heartbeats were forwarded since the start. */
  long forwarded() {
    return forwarded;
  }

  /** Whether the heartbeat is short enough to be forwarded. */
  static boolean canForward(byte[] body) {
    return PeerMessageCodec.canForward(body.length);
  }

  /** Forwards a heartbeat, as the worker sent it, to the leader named. */
  void forward(String leader, byte[] body, Callback callback) {
    long number = ++forwarded;
    open.put(number, callback);
    String text = new String(body, StandardCharsets.UTF_8);
    peers.send(leader, PeerMessageCodec.encode(new ForwardedHeartbeat(member, number, text)));
    scheduler.after(
        TIMEOUT_MICROS,
        () -> {
          if (open.remove(number) != null) {
            callback.timedOut();
          }
        });
  }

  /** Takes a leader's answer; a late one is ignored. */
  void receive(ForwardedResponse response) {
    Callback callback = open.remove(response.number());
    if (callback != null) {
      callback.answered(
          Optional.of(response.answer())
              .filter(text -> !text.isEmpty())
              .map(text -> text.getBytes(StandardCharsets.UTF_8)));
    }
  }

  /**
   * Sends this leader's answer back to the controller that forwarded the heartbeat; one that is too
   * long is not sent. An empty answer says that the worker is to have none, neither of this
   * controller nor of a delegate.
   */
  void respond(ForwardedHeartbeat forwardedHeartbeat, Optional<byte[]> answer) {
    byte[] body = answer.orElse(new byte[0]);
    if (PeerMessageCodec.canForward(body.length)) {
      String text = new String(body, StandardCharsets.UTF_8);
      ForwardedResponse response = new ForwardedResponse(forwardedHeartbeat.number(), text);
      peers.send(forwardedHeartbeat.member(), PeerMessageCodec.encode(response));
    }
  }
}
