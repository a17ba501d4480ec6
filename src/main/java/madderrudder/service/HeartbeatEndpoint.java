package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
 * Workers' heartbeats at any controller. The leader answers them. Another controller redirects the
 * worker to the leader; if the worker can't reach it, the heartbeat is forwarded, or, where the
 * leader can't be reached from here either, answered without commands for as long as the leader has
 * delegated that. Confined to the event loop thread.
 */
final class HeartbeatEndpoint {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatEndpoint.class);

  /** Within the four seconds that a worker waits, with time for what follows. */
  private static final long MAX_PENDING_MICROS = 2_500_000;

  private static final long PENDING_CHECK_MICROS = 50_000;

  private final Dependencies dependencies;
  private final Scheduler scheduler;
  private final LeaderElection election;
  private final LocalLeader localLeader;
  private final HeartbeatDelegate delegate;
  private final HeartbeatForwarder forwarder;
  private final boolean delegationEnabled;
  private final long leaderlessMicros;

  /** Each pending heartbeat takes a connection, and users and peers need some too. */
  private final int maxPending;

  private final Set<PendingHeartbeat> pending = new LinkedHashSet<>();
  private final MalformedMessageLog malformed = new MalformedMessageLog(LOG, "heartbeat");
  private long lastAnswererKnownMicros;
  private boolean answeringAsDelegate;
  private long answeredAsDelegate;

  /** A heartbeat that was not answered yet, with its body as the worker sent it. */
  private record PendingHeartbeat(
      Heartbeat heartbeat, byte[] body, Consumer<HttpResponse> answer) {}

  /**
   * The parts of the controller that take part in answering heartbeats.
   *
   * @param member this controller's name
   * @param storeAnswers whether the store has answered lately
   */
  record Dependencies(
      Scheduler scheduler,
      LeaderElection election,
      LocalLeader localLeader,
      HeartbeatDelegate delegate,
      WorkerRedirects redirects,
      HeartbeatForwarder forwarder,
      String member,
      BooleanSupplier storeAnswers) {}

  /**
   * Creates an endpoint; {@link #start} must be called before the first heartbeat.
   *
   * @param delegationEnabled whether heartbeats are answered or forwarded at all while another
   *     controller leads
   * @param leaderlessMicros when nobody has led for so long, it is more than a change of leader
   * @param maxSockets the sockets that this controller may use; half of them may wait here
   */
  HeartbeatEndpoint(
      Dependencies dependencies, boolean delegationEnabled, long leaderlessMicros, int maxSockets) {
    this.dependencies = dependencies;
    scheduler = dependencies.scheduler();
    election = dependencies.election();
    localLeader = dependencies.localLeader();
    delegate = dependencies.delegate();
    forwarder = dependencies.forwarder();
    this.delegationEnabled = delegationEnabled;
    this.leaderlessMicros = leaderlessMicros;
    maxPending = maxSockets / 2;
    lastAnswererKnownMicros = scheduler.nowMicros();
  }

  /** Writes how many heartbeats were answered as a delegate, and forwarded, since the start. */
  void writeCounters(JsonGenerator out) throws IOException {
    out.writeNumberField("reports_stood_in", answeredAsDelegate);
    out.writeNumberField("reports_passed_on", forwarder.forwarded());
  }

  /** Begins to look periodically for pending heartbeats that can be answered. */
  void start() {
    scheduler.every(PENDING_CHECK_MICROS, this::dispatchPending);
  }

  /** Takes a heartbeat; a malformed one is answered with 400. */
  void handle(byte[] body, Consumer<HttpResponse> answer) {
    Heartbeat heartbeat;
    try {
      heartbeat = parse(body);
    } catch (MalformedMessageException e) {
      malformed.log(e);
      answer.accept(Responses.error(400, e.getMessage()));
      return;
    }
    PendingHeartbeat arrived = new PendingHeartbeat(heartbeat, body, answer);
    if (!answererKnown() && pending.size() < maxPending) {
      keepPending(arrived);
    } else {
      dispatch(arrived);
    }
  }

  private Heartbeat parse(byte[] body) throws MalformedMessageException {
    Heartbeat heartbeat = WorkerCodec.readHeartbeat(body);
    if (!election.observeToken(heartbeat.token())) {
      throw new MalformedMessageException("no leader has given the token " + heartbeat.token());
    }
    return heartbeat;
  }

  /**
   * While nobody leads, or the leader here has not read the stored state, a worker that is
   * redirected comes back a second later at the earliest, while its lease runs. Its heartbeat is
   * kept for a moment instead, and answered once it is clear by whom.
   */
  private void keepPending(PendingHeartbeat arrived) {
    pending.add(arrived);
    scheduler.after(
        MAX_PENDING_MICROS,
        () -> {
          if (pending.remove(arrived)) {
            dispatch(arrived);
          }
        });
  }

  /** Whether it is clear who answers heartbeats. */
  private boolean answererKnown() {
    return localLeader.isPresent()
        ? localLeader.answersHeartbeats()
        : election.leader().isPresent();
  }

  private void dispatchPending() {
    if (!answererKnown()) {
      return;
    }
    lastAnswererKnownMicros = scheduler.nowMicros();
    if (!pending.isEmpty()) {
      List<PendingHeartbeat> kept = List.copyOf(pending);
      pending.clear();
      kept.forEach(this::dispatch);
    }
  }

  private void dispatch(PendingHeartbeat arrived) {
    if (localLeader.isPresent()) {
      localLeader.handle(arrived.heartbeat(), answer -> answerOrRedirect(arrived, answer));
    } else {
      dispatchAsFollower(arrived);
    }
  }

  private void dispatchAsFollower(PendingHeartbeat arrived) {
    Optional<String> leader = election.leader();
    if (!delegationEnabled) {
      redirect(arrived);
    } else if (leader.isPresent() && delegate.hasHeardLately(leader.get())) {
      forwardOrRedirect(leader.get(), arrived);
    } else if (mayAnswerWithoutLeader(leader, arrived)) {
      answerAsDelegate(arrived);
    } else {
      redirect(arrived);
    }
  }

  private void forwardOrRedirect(String leader, PendingHeartbeat arrived) {
    if (isServedHere(arrived)) {
      forward(leader, arrived);
    } else {
      redirect(arrived);
    }
  }

  /**
   * With the leader silent and the store too, a worker is served at once: a first redirect in vain
   * could cost it its lease.
   */
  private boolean mayAnswerWithoutLeader(Optional<String> leader, PendingHeartbeat arrived) {
    if (leader.isEmpty()) {
      return scheduler.nowMicros() - lastAnswererKnownMicros > leaderlessMicros;
    }
    return !dependencies.storeAnswers().getAsBoolean() || isServedHere(arrived);
  }

  private boolean isServedHere(PendingHeartbeat arrived) {
    Heartbeat heartbeat = arrived.heartbeat();
    return dependencies
        .redirects()
        .isServedHere(heartbeat.machine(), heartbeat.zone(), scheduler.nowMicros());
  }

  /**
   * Answers on the leader's behalf, without a command, a worker that has tasks to lose; one without
   * tasks is better off looking for the leader.
   */
  private void answerAsDelegate(PendingHeartbeat arrived) {
    if (arrived.heartbeat().tasks().isEmpty()
        || !delegate.mayAnswer(election.highestTerm())
        || !delegate.recordAnswer(arrived.heartbeat())) {
      redirect(arrived);
      return;
    }
    if (!answeringAsDelegate) {
      answeringAsDelegate = true;
      LOG.info("answering heartbeats on behalf of {}", election.leader().orElse("no known leader"));
    }
    answeredAsDelegate++;
    long token = FencingToken.echo(arrived.heartbeat().token(), delegate.grantTerm());
    answer(arrived, WorkerCodec.heartbeatResponse(token, List.of()));
  }

  private void forward(String leader, PendingHeartbeat arrived) {
    answeringAsDelegate = false;
    if (!HeartbeatForwarder.canForward(arrived.body())) {
      answerAsDelegate(arrived);
      return;
    }
    forwarder.forward(
        leader,
        arrived.body(),
        new HeartbeatForwarder.Callback() {
          @Override
          public void answered(Optional<byte[]> answer) {
            answerOrRedirect(arrived, answer);
          }

          @Override
          public void timedOut() {
            answerAsDelegate(arrived);
          }
        });
  }

  /** Takes a heartbeat that another controller forwards to this one as the leader. */
  void receive(ForwardedHeartbeat forwarded) {
    Heartbeat heartbeat;
    try {
      heartbeat = parse(forwarded.report().getBytes(StandardCharsets.UTF_8));
    } catch (MalformedMessageException e) {
      malformed.log(e);
      return;
    }
    if (localLeader.isPresent()) {
      localLeader.handle(heartbeat, answer -> forwarder.respond(forwarded, answer));
    }
  }

  /** Takes the leader's answer to a heartbeat that was forwarded. */
  void receive(ForwardedResponse response) {
    forwarder.receive(response);
  }

  private void answerOrRedirect(PendingHeartbeat arrived, Optional<byte[]> answer) {
    if (answer.isPresent()) {
      answer(arrived, answer.get());
    } else {
      redirect(arrived);
    }
  }

  private static void answer(PendingHeartbeat arrived, byte[] body) {
    arrived.answer().accept(HttpResponse.of(200, body));
  }

  private void redirect(PendingHeartbeat arrived) {
    String other =
        election.leader().filter(leader -> !leader.equals(dependencies.member())).orElse(null);
    arrived.answer().accept(HttpResponse.of(421, WorkerCodec.redirect(other)));
  }
}
