package madderrudder.service;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import madderrudder.coordination.leader.HeartbeatReply;
import madderrudder.coordination.leader.Leader;
import madderrudder.coordination.registry.LeaderDependencies;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.ProgressUpdate;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.WorkerCodec;

/**
 * The leader that runs in this process while the process is elected, with the answers for the time
 * when there is none. Confined to the event loop thread.
 */
final class LocalLeader {
  private final LeaderDependencies dependencies;

  /** The leader of the present term, or null while another controller leads. */
  private Leader leader;

  LocalLeader(LeaderDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Begins to lead in the term. */
  void begin(long term, long termVersion) {
    leader =
        new Leader(
            dependencies,
            term,
            termVersion,
            () -> dependencies.election().stepDown("the chain of commits broke"));
    leader.begin();
  }

  /** Ceases to lead; does nothing if this process does not. */
  void end() {
    if (leader != null) {
      leader.end();
      leader = null;
    }
  }

  /** Whether this process leads. */
  boolean isPresent() {
    return leader != null;
  }

  /** Whether this process leads and has read the stored state. */
  boolean isReady() {
    return leader != null && leader.ready();
  }

  /** Whether heartbeats are answered at this moment; false if this process does not lead. */
  boolean answersHeartbeats() {
    return leader != null && leader.decidesHeartbeats();
  }

  /**
   * Hands a heartbeat to the leader, which must be present.
   *
   * @param answer gets the encoded answer, perhaps a little later; empty if the leader does not
   *     answer
   */
  void handle(Heartbeat heartbeat, Consumer<Optional<byte[]>> answer) {
    leader.handleHeartbeat(heartbeat, reply -> answer.accept(encode(reply)));
  }

  private static Optional<byte[]> encode(HeartbeatReply reply) {
    return reply instanceof HeartbeatReply.Answered answered
        ? Optional.of(WorkerCodec.heartbeatResponse(answered.token(), answered.commands()))
        : Optional.empty();
  }

  /** How many writes a second of its own rate the leader leaves over; 0 without a leader. */
  double spareWritesPerSecond(long sinceMicros) {
    return leader == null ? 0 : leader.spareWritesPerSecond(sinceMicros);
  }

  /** The progress of some of the jobs, for the other controllers. The leader must be ready. */
  ProgressUpdate progressUpdate() {
    return new ProgressUpdate(leader.number(), leader.nextProgressBatch());
  }

  /** A job's progress; empty without a leader or if it does not know the job. */
  Optional<JobProgress> progress(String job) {
    return leader == null ? Optional.empty() : leader.progress(job);
  }

  /** For how long other controllers may answer heartbeats; 0 if not at all or without a leader. */
  long grantMicros() {
    return leader == null ? 0 : leader.delegationGrantMicros();
  }

  /** Those of the processes heard that may be sent the grant. The leader must be present. */
  List<StampEcho> grantTo(List<StampEcho> heard, long grantMicros) {
    return leader.grantDelegation(heard, grantMicros);
  }

  /**
   * Notes another controller's status.
   *
   * @param echo what that controller has heard of this very process, or null if nothing
   */
  void recordStatus(MembershipStatus status, StampEcho echo) {
    if (leader != null) {
      leader.onMembershipStatus(status, echo);
    }
  }

  /** Notes that another controller has renewed workers' leases. */
  void recordRenewals(DelegatedRenewals renewals) {
    if (leader != null) {
      leader.onDelegatedRenewals(renewals);
    }
  }

  /** Writes the finished runs after the number given. The leader must be ready. */
  void writeHistory(JsonGenerator out, long afterNumber) throws IOException {
    leader.writeHistory(out, afterNumber);
  }

  /** Writes the leader's state for {@code GET /metrics}; nothing if it is not ready. */
  void writeState(JsonGenerator out) throws IOException {
    if (isReady()) {
      leader.writeMetrics(out);
    }
  }
}
