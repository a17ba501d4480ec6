package madderrudder.coordination.leader;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import madderrudder.coordination.heartbeat.Freshness;
import madderrudder.coordination.heartbeat.HeartbeatHandler;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.WorkerCommand;

/**
 * Decides whether and when a heartbeat is answered. {@link HeartbeatHandler} provides the content
 * of the answer. Confined to the event loop thread.
 */
final class HeartbeatResponder {
  /** Longest time that an answer is delayed until the machine's records are durable. */
  private static final long MAX_DURABILITY_WAIT_MICROS = 250_000;

  private final LeaderTerm term;
  private final JobRegistry jobs;
  private final HeartbeatHandler heartbeats;
  private final LongSupplier renewalSafeUntilMicros;

  /** The replies that wait for durable records, by machine id. */
  private final Map<String, PendingReply> pendingReplies = new HashMap<>();

  /** The newest heartbeat of each machine that arrived while the stored state was being read. */
  private final Map<String, Heartbeat> earlyHeartbeats = new LinkedHashMap<>();

  private boolean ready;

  private record PendingReply(Heartbeat heartbeat, Consumer<HeartbeatReply> callback) {}

  /**
   * Creates the responder of one term, which is not ready yet.
   *
   * @param renewalSafeUntilMicros returns until when heartbeats may be answered without commands
   *     while the stored state is not loaded, on the scheduler's clock: the latest end of any grant
   *     of an earlier term that this controller has received or issued
   */
  HeartbeatResponder(
      LeaderTerm term,
      JobRegistry jobs,
      HeartbeatHandler heartbeats,
      LongSupplier renewalSafeUntilMicros) {
    this.term = term;
    this.jobs = jobs;
    this.heartbeats = heartbeats;
    this.renewalSafeUntilMicros = renewalSafeUntilMicros;
  }

  /**
   * Marks the stored state as loaded. Heartbeats are answered from the cluster state afterwards.
   */
  void markReady() {
    ready = true;
  }

  /** Applies the heartbeats that were answered while the stored state was being read. */
  void acceptEarlyHeartbeats() {
    earlyHeartbeats.values().forEach(heartbeats::acceptAnsweredEarlier);
    earlyHeartbeats.clear();
  }

  /** Refuses all heartbeats with a pending reply, because the term has ended. */
  void close() {
    for (PendingReply reply : pendingReplies.values()) {
      reply.callback().accept(new HeartbeatReply.Refused());
    }
    pendingReplies.clear();
  }

  /**
   * Returns whether heartbeats can be replied to now. Until the stored state is loaded, that is the
   * case only while a grant of an earlier term allows answers.
   */
  boolean repliesToHeartbeats() {
    return ready || mayAnswer();
  }

  /**
   * Replies to a heartbeat, immediately or once the machine's records are durable.
   *
   * @param callback receives the reply
   */
  void handle(Heartbeat heartbeat, Consumer<HeartbeatReply> callback) {
    if (!mayAnswer()) {
      callback.accept(new HeartbeatReply.Refused());
    } else if (!ready) {
      keepEarlyHeartbeat(heartbeat);
      callback.accept(new HeartbeatReply.Answered(heartbeats.issueToken(heartbeat), List.of()));
    } else {
      replyFromState(heartbeat, callback);
    }
  }

  /** Sends the machine's pending answer, if all its records have become durable. */
  void onDurable(Machine machine) {
    if (heartbeats.awaitsDurableRecord(machine.id)) {
      return;
    }
    PendingReply reply = pendingReplies.remove(machine.id);
    if (reply != null) {
      reply.callback().accept(answer(reply.heartbeat()));
    }
  }

  /**
   * Returns whether heartbeats may be answered now. A ready leader answers for a bounded time after
   * the end of its lease, or after the time up to which it has read all cancellations, whichever is
   * earlier. The bound lets workers keep their tasks through a store outage, but makes them kill in
   * time the tasks of jobs whose cancellation this controller cannot see.
   *
   * <p>Until the stored state is loaded, the leader cannot determine which jobs were cancelled,
   * even long ago. Answers without commands for as long as its lease is extended would then keep
   * cancelled tasks running, so they are also limited to the time granted in an earlier term, as
   * are the answers of any other controller.
   */
  private boolean mayAnswer() {
    long nowMicros = term.scheduler.nowMicros();
    if (!ready) {
      return term.election.holdsLease() && nowMicros < renewalSafeUntilMicros.getAsLong();
    }
    long knownUpToMicros = Math.min(jobs.knownUpToMicros(), term.election.leaseEndMicros());
    return nowMicros < knownUpToMicros + term.safetyBounds.maxAnswerWithoutStoreMicros();
  }

  private void keepEarlyHeartbeat(Heartbeat heartbeat) {
    Heartbeat known = earlyHeartbeats.get(heartbeat.machine());
    if (known == null || heartbeat.isNewerThan(known.epoch(), known.sequence())) {
      earlyHeartbeats.put(heartbeat.machine(), heartbeat);
    }
  }

  private void replyFromState(Heartbeat heartbeat, Consumer<HeartbeatReply> callback) {
    Freshness freshness = heartbeats.accept(heartbeat);
    if (freshness == Freshness.STALE) {
      heartbeats.invalidateEarlierStarts(heartbeat);
      callback.accept(new HeartbeatReply.Refused());
    } else if (heartbeats.mustWithholdAnswer(heartbeat)) {
      callback.accept(new HeartbeatReply.Refused());
    } else if (freshness == Freshness.OVERTAKEN) {
      callback.accept(
          new HeartbeatReply.Answered(
              heartbeats.issueToken(heartbeat), heartbeats.issueStops(heartbeat)));
    } else if (heartbeats.awaitsDurableRecord(heartbeat.machine()) && term.election.holdsLease()) {
      answerWhenDurable(new PendingReply(heartbeat, callback));
    } else {
      callback.accept(answer(heartbeat));
    }
  }

  /**
   * Delays an answer until the machine's records are durable, at most for {@link
   * #MAX_DURABILITY_WAIT_MICROS}. An older pending answer to the machine is sent at once.
   */
  private void answerWhenDurable(PendingReply reply) {
    String machineId = reply.heartbeat().machine();
    PendingReply older = pendingReplies.put(machineId, reply);
    if (older != null) {
      older.callback().accept(answer(older.heartbeat()));
    }
    term.runAfter(
        MAX_DURABILITY_WAIT_MICROS,
        () -> {
          if (pendingReplies.remove(machineId, reply)) {
            reply.callback().accept(answer(reply.heartbeat()));
          }
        });
  }

  /**
   * Returns the answer to a heartbeat. Issues the commands first, since they may raise the token.
   */
  private HeartbeatReply answer(Heartbeat heartbeat) {
    List<WorkerCommand> commands = heartbeats.issueCommands(heartbeat);
    return new HeartbeatReply.Answered(heartbeats.issueToken(heartbeat), commands);
  }
}
