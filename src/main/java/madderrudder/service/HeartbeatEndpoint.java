package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import madderrudder.coordination.membership.HeartbeatDelegate;
import madderrudder.coordination.membership.LeaderElection;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage.ForwardedHeartbeat;
import madderrudder.protocol.PeerMessage.ForwardedResponse;
import madderrudder.protocol.WorkerCodec;
import madderrudder.transport.HttpResponse;
import madderrudder.transport.Scheduler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves workers' heartbeats on every controller. The leader answers a heartbeat itself. Another
 * controller redirects the worker to the leader. If the worker can't reach the leader, the
 * controller forwards the heartbeat to it. If the controller can't reach the leader either, it acts
 * as a delegate and answers without commands, for as long as the leader has granted that. Confined
 * to the event loop thread.
 */
final class HeartbeatEndpoint {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);

  private static final long PENDING_CHECK_PERIOD_MICROS = 50_000;

  private final Dependencies dependencies;
  private final Scheduler scheduler;
  private final LeaderElection election;
  private final LocalLeader localLeader;
  private final HeartbeatDelegate delegate;
  private final HeartbeatForwarder forwarder;
  private final boolean delegationEnabled;
  private final long maxLeaderChangeMicros;

  private final PendingHeartbeats pendingHeartbeats;
  private final MalformedMessageLog malformedLog = new MalformedMessageLog(LOG, "heartbeat");

  /**
   * The latest periodic check at which {@link #isResponderKnown} was true, or the creation time.
   */
  private long lastResponderKnownMicros;

  /**
   * Whether the latest heartbeats were answered as a delegate; only the first of them is logged.
   */
  private boolean respondingAsDelegate;

  private long delegatedResponses;

  /**
   * The components that the endpoint uses.
   *
   * @param member this controller's name
   * @param storeResponsive whether the store has responded to this controller recently
   */
  record Dependencies(
      Scheduler scheduler,
      LeaderElection election,
      LocalLeader localLeader,
      HeartbeatDelegate delegate,
      WorkerRedirects redirects,
      HeartbeatForwarder forwarder,
      String member,
      BooleanSupplier storeResponsive) {}

  /**
   * Creates an endpoint; {@link #start} must be called before the first heartbeat.
   *
   * @param delegationEnabled whether a controller that does not lead may forward or answer
   *     heartbeats; otherwise it redirects all workers
   * @param maxLeaderChangeMicros the longest time for which no leader is known during an ordinary
   *     change of leader; after it, heartbeats are answered as a delegate
   * @param maxSockets the sockets that this controller may use; pending heartbeats may occupy half
   *     of them
   */
  HeartbeatEndpoint(
      Dependencies dependencies,
      boolean delegationEnabled,
      long maxLeaderChangeMicros,
      int maxSockets) {
    this.dependencies = dependencies;
    scheduler = dependencies.scheduler();
    election = dependencies.election();
    localLeader = dependencies.localLeader();
    delegate = dependencies.delegate();
    forwarder = dependencies.forwarder();
    this.delegationEnabled = delegationEnabled;
    this.maxLeaderChangeMicros = maxLeaderChangeMicros;
    // Users and peers need connections too.
    pendingHeartbeats = new PendingHeartbeats(scheduler, maxSockets / 2, this::dispatch);
    lastResponderKnownMicros = scheduler.nowMicros();
  }

  /** Writes the number of heartbeats answered as a delegate, and the forwarder's counters. */
  void writeCounters(JsonGenerator out) throws IOException {
    out.writeNumberField("reports_stood_in", delegatedResponses);
    forwarder.writeCounters(out);
  }

  /** Starts the periodic dispatch of pending heartbeats. */
  void start() {
    scheduler.runEvery(PENDING_CHECK_PERIOD_MICROS, this::dispatchPendingHeartbeats);
  }

  /** Handles a worker's heartbeat; a malformed one gets status 400. */
  void handle(byte[] body, Consumer<HttpResponse> callback) {
    Heartbeat heartbeat;
    try {
      heartbeat = decode(body);
    } catch (MalformedMessageException e) {
      malformedLog.log(e);
      callback.accept(Responses.error(400, e.getMessage()));
      return;
    }
    ReceivedHeartbeat received = new ReceivedHeartbeat(heartbeat, body, callback);
    if (isResponderKnown() || !pendingHeartbeats.tryHold(received)) {
      dispatch(received);
    }
  }

  /**
   * Decodes a heartbeat and observes the term of its fencing token. A token that no leader can have
   * issued makes the heartbeat malformed.
   */
  private Heartbeat decode(byte[] body) throws MalformedMessageException {
    Heartbeat heartbeat = WorkerCodec.readHeartbeat(body);
    if (!election.observeToken(heartbeat.token())) {
      throw new MalformedMessageException("no leader has given the token " + heartbeat.token());
    }
    return heartbeat;
  }

  /** Whether a leader is known and, if this controller leads, is ready to answer heartbeats. */
  private boolean isResponderKnown() {
    return localLeader.isLeading()
        ? localLeader.answersHeartbeats()
        : election.leader().isPresent();
  }

  private void dispatchPendingHeartbeats() {
    if (!isResponderKnown()) {
      return;
    }
    lastResponderKnownMicros = scheduler.nowMicros();
    pendingHeartbeats.dispatchAll();
  }

  private void dispatch(ReceivedHeartbeat received) {
    if (localLeader.isLeading()) {
      localLeader.handle(received.heartbeat(), response -> respondOrRedirect(received, response));
    } else {
      dispatchAsFollower(received);
    }
  }

  private void dispatchAsFollower(ReceivedHeartbeat received) {
    Optional<String> leader = election.leader();
    if (!delegationEnabled) {
      redirect(received);
    } else if (leader.isPresent() && delegate.hasRecentContact(leader.get())) {
      forwardOrRedirect(leader.get(), received);
    } else if (mayRespondWithoutLeader(leader, received)) {
      respondAsDelegate(received);
    } else {
      redirect(received);
    }
  }

  private void forwardOrRedirect(String leader, ReceivedHeartbeat received) {
    if (decideToServeLocally(received)) {
      forward(leader, received);
    } else {
      redirect(received);
    }
  }

  /**
   * Whether this controller may answer although the leader is unknown or has not sent its status
   * recently. Without a known leader, the time that an ordinary change of leader takes must have
   * passed. With a known leader, the worker must be one that {@link WorkerRedirects} serves
   * locally, unless the store does not respond either: then every worker is served at once, because
   * a redirect to an unreachable leader could cost the worker its lease.
   */
  private boolean mayRespondWithoutLeader(Optional<String> leader, ReceivedHeartbeat received) {
    if (leader.isEmpty()) {
      return scheduler.nowMicros() - lastResponderKnownMicros > maxLeaderChangeMicros;
    }
    return !dependencies.storeResponsive().getAsBoolean() || decideToServeLocally(received);
  }

  private boolean decideToServeLocally(ReceivedHeartbeat received) {
    Heartbeat heartbeat = received.heartbeat();
    return dependencies
        .redirects()
        .decideToServeLocally(heartbeat.machine(), heartbeat.zone(), scheduler.nowMicros());
  }

  /**
   * Answers on behalf of the leader, without commands, if the leader's grant allows it; otherwise
   * redirects the worker. A worker without tasks is redirected too: it has no tasks to lose while
   * it searches for the leader.
   */
  private void respondAsDelegate(ReceivedHeartbeat received) {
    if (received.heartbeat().tasks().isEmpty()
        || !delegate.mayAnswer(election.highestTerm())
        || !delegate.tryRecordAnswer(received.heartbeat())) {
      redirect(received);
      return;
    }
    if (!respondingAsDelegate) {
      respondingAsDelegate = true;
      LOG.info("answering heartbeats on behalf of {}", election.leader().orElse("no known leader"));
    }
    delegatedResponses++;
    long token = FencingToken.tokenForAnswer(received.heartbeat().token(), delegate.grantTerm());
    received.answer(WorkerCodec.heartbeatResponse(token, List.of()));
  }

  private void forward(String leader, ReceivedHeartbeat received) {
    respondingAsDelegate = false;
    if (!HeartbeatForwarder.canForward(received.body())) {
      respondAsDelegate(received);
      return;
    }
    forwarder.forward(
        leader,
        received.heartbeat().machine(),
        received.body(),
        new HeartbeatForwarder.Callback() {
          @Override
          public void onResponse(Optional<byte[]> response) {
            respondOrRedirect(received, response);
          }

          @Override
          public void onTimeout() {
            respondAsDelegate(received);
          }
        });
  }

  /** Handles a heartbeat that a peer has forwarded; ignored if this controller does not lead. */
  void receive(ForwardedHeartbeat forwarded) {
    Heartbeat heartbeat;
    try {
      heartbeat = decode(forwarded.heartbeatBody().getBytes(StandardCharsets.UTF_8));
    } catch (MalformedMessageException e) {
      malformedLog.log(e);
      return;
    }
    if (localLeader.isLeading()) {
      localLeader.handle(
          heartbeat, response -> forwarder.respond(forwarded, heartbeat.machine(), response));
    }
  }

  /** Handles the leader's response to a heartbeat that this controller has forwarded. */
  void receive(ForwardedResponse response) {
    forwarder.receive(response);
  }

  private void respondOrRedirect(ReceivedHeartbeat received, Optional<byte[]> response) {
    if (response.isPresent()) {
      received.answer(response.get());
    } else {
      redirect(received);
    }
  }

  private void redirect(ReceivedHeartbeat received) {
    String otherLeader =
        election.leader().filter(leader -> !leader.equals(dependencies.member())).orElse(null);
    received.redirect(WorkerCodec.redirect(otherLeader));
  }
}
