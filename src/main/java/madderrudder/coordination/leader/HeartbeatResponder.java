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
 * Decides whether and when a heartbeat is answered; what the answer says is up to {@link
 * HeartbeatHandler}. Confined to the event loop thread.
 */
final class HeartbeatResponder {
  /** An answer waits at most this long for records that are about to become durable. */
  private static final long DURABILITY_WAIT_MICROS = 250_000;

  private final LeaderTerm term;
  private final JobRegistry jobs;
  private final HeartbeatHandler heartbeats;
  private final LongSupplier delegatedUntilMicros;

  /** The answers that wait for durable records, by machine. */
  private final Map<String, PendingReply> pending = new HashMap<>();

  /** The newest heartbeat of each machine that came while the stored state was being read. */
  private final Map<String, Heartbeat> early = new LinkedHashMap<>();

  private boolean ready;

  private record PendingReply(Heartbeat heartbeat, Consumer<HeartbeatReply> receiver) {}

  /**
   * @param delegatedUntilMicros until when an earlier leader has allowed this controller to answer
   *     without commands, on the scheduler's clock
   */
  HeartbeatResponder(
      LeaderTerm term,
      JobRegistry jobs,
      HeartbeatHandler heartbeats,
      LongSupplier delegatedUntilMicros) {
    this.term = term;
    this.jobs = jobs;
    this.heartbeats = heartbeats;
    this.delegatedUntilMicros = delegatedUntilMicros;
  }

  /** From now on answers are given by the stored state, which has been read. */
  void markReady() {
    ready = true;
  }

  /** Accepts the heartbeats that were answered while the stored state was being read. */
  void acceptEarly() {
    early.values().forEach(heartbeats::acceptAnsweredEarlier);
    early.clear();
  }

  /** Refuses whatever still waits for an answer, because the term has ended. */
  void close() {
    for (PendingReply reply : pending.values()) {
      reply.receiver().accept(new HeartbeatReply.Refused());
    }
    pending.clear();
  }

  /** Whether heartbeats are answered or refused now, rather than once the state is read. */
  boolean decides() {
    return ready || mayAnswer();
  }

  /** Replies to a heartbeat, now or a little later. */
  void handle(Heartbeat heartbeat, Consumer<HeartbeatReply> receiver) {
    if (!mayAnswer()) {
      receiver.accept(new HeartbeatReply.Refused());
    } else if (!ready) {
      keepEarly(heartbeat);
      receiver.accept(new HeartbeatReply.Answered(heartbeats.issueToken(heartbeat), List.of()));
    } else {
      replyByState(heartbeat, receiver);
    }
  }

  /** A record of the machine has become durable: an answer that waited for it may go out. */
  void onDurable(Machine machine) {
    if (heartbeats.awaitsDurableRecord(machine.id)) {
      return;
    }
    PendingReply reply = pending.remove(machine.id);
    if (reply != null) {
      reply.receiver().accept(answer(reply.heartbeat()));
    }
  }

  /**
   * Heartbeats may be answered while the leader's lease lasts, and for a bounded time after the
   * last news from the store: long enough for workers to keep their tasks through an outage, and
   * short enough that they drop a job in time that was cancelled where this node cannot see it.
   * Before the state is read it is not known what was cancelled, even long ago. Answers without
   * commands once went out in that state for as long as the lease was extended; they are bounded
   * now by what an earlier leader has granted, as those of any other controller are.
   */
  private boolean mayAnswer() {
    long nowMicros = term.scheduler.nowMicros();
    if (!ready) {
      return term.election.holdsLease() && nowMicros < delegatedUntilMicros.getAsLong();
    }
    long lastNewsMicros = Math.min(jobs.knownUpToMicros(), term.election.leaseEndMicros());
    return nowMicros < lastNewsMicros + term.safety.answerMicros();
  }

  private void keepEarly(Heartbeat heartbeat) {
    Heartbeat known = early.get(heartbeat.machine());
    if (known == null || heartbeat.newerThan(known.epoch(), known.sequence())) {
      early.put(heartbeat.machine(), heartbeat);
    }
  }

  private void replyByState(Heartbeat heartbeat, Consumer<HeartbeatReply> receiver) {
    Freshness freshness = heartbeats.accept(heartbeat);
    if (freshness == Freshness.STALE || heartbeats.mustWithholdAnswer(heartbeat)) {
      receiver.accept(new HeartbeatReply.Refused());
    } else if (freshness == Freshness.OVERTAKEN) {
      receiver.accept(
          new HeartbeatReply.Answered(
              heartbeats.issueToken(heartbeat), heartbeats.issueStops(heartbeat)));
    } else if (heartbeats.awaitsDurableRecord(heartbeat.machine()) && term.election.holdsLease()) {
      answerWhenDurable(new PendingReply(heartbeat, receiver));
    } else {
      receiver.accept(answer(heartbeat));
    }
  }

  /** Answers once the machine's records are durable, or after the longest wait. */
  private void answerWhenDurable(PendingReply reply) {
    String machineId = reply.heartbeat().machine();
    PendingReply older = pending.put(machineId, reply);
    if (older != null) {
      older.receiver().accept(answer(older.heartbeat()));
    }
    term.after(
        DURABILITY_WAIT_MICROS,
        () -> {
          if (pending.remove(machineId, reply)) {
            reply.receiver().accept(answer(reply.heartbeat()));
          }
        });
  }

  /** The commands come first: they may raise the token. */
  private HeartbeatReply answer(Heartbeat heartbeat) {
    List<WorkerCommand> commands = heartbeats.issueCommands(heartbeat);
    return new HeartbeatReply.Answered(heartbeats.issueToken(heartbeat), commands);
  }
}
