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
 * Owns the {@link Leader} that runs in this process while this controller is elected, and supplies
 * defaults while it is not. Confined to the event loop thread.
 */
final class LocalLeader {
  private final LeaderDependencies dependencies;

  /** The leader of the current term, or null while this controller does not lead. */
  private Leader leader;

  LocalLeader(LeaderDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /**
   * Starts to lead in a term.
   *
   * @param term the number of the term
   * @param termVersion the version of the term's key in the store
   */
  void startTerm(long term, long termVersion) {
    leader =
        new Leader(
            dependencies,
            term,
            termVersion,
            () ->
                dependencies
                    .election()
                    .stepDown("no further transaction can be committed in this term"));
    leader.begin();
  }

  /** Ends the current term; does nothing if this controller does not lead. */
  void endTerm() {
    if (leader != null) {
      leader.end();
      leader = null;
    }
  }

  /** Whether this controller was elected and its term has not ended. */
  boolean isLeading() {
    return leader != null;
  }

  /** Whether this controller leads and has read the stored state. */
  boolean isReady() {
    return leader != null && leader.ready();
  }

  /**
   * Whether the leader can answer heartbeats now; false if this controller does not lead. Until the
   * leader has read the stored state, it can do so only while a grant of an earlier leader allows
   * it.
   */
  boolean answersHeartbeats() {
    return leader != null && leader.repliesToHeartbeats();
  }

  /**
   * Passes a heartbeat to the leader. This controller must lead.
   *
   * @param callback receives the encoded response, at once or later; empty if the leader refuses to
   *     answer
   */
  void handle(Heartbeat heartbeat, Consumer<Optional<byte[]>> callback) {
    leader.handleHeartbeat(heartbeat, reply -> callback.accept(encode(reply)));
  }

  private static Optional<byte[]> encode(HeartbeatReply reply) {
    return reply instanceof HeartbeatReply.Answered answered
        ? Optional.of(WorkerCodec.heartbeatResponse(answered.token(), answered.commands()))
        : Optional.empty();
  }

  /**
   * The part of the leader's own write rate that users may have, in writes per second; 0 if this
   * controller does not lead.
   *
   * @param sinceMicros the time since the previous call
   */
  double spareWritesPerSecond(long sinceMicros) {
    return leader == null ? 0 : leader.spareWritesPerSecond(sinceMicros);
  }

  /**
   * The progress of the next batch of jobs, for the other controllers. The leader must be ready.
   */
  ProgressUpdate progressUpdate() {
    return new ProgressUpdate(leader.termNumber(), leader.nextProgressBatch());
  }

  /** The progress of a job; empty if this controller does not lead or the job is unknown. */
  Optional<JobProgress> jobProgress(String jobId) {
    return leader == null ? Optional.empty() : leader.progress(jobId);
  }

  /**
   * How long other controllers may answer heartbeats on behalf of this leader; 0 if they may not,
   * or if this controller does not lead.
   */
  long delegationGrantMicros() {
    return leader == null ? 0 : leader.delegationGrantMicros();
  }

  /**
   * Grants delegation for the given time. This controller must lead.
   *
   * @param peerStamps the latest stamps of the peers' processes
   * @return those of the stamps whose processes may receive the grant
   */
  List<StampEcho> grantDelegation(List<StampEcho> peerStamps, long grantMicros) {
    return leader.grantDelegation(peerStamps, grantMicros);
  }

  /**
   * Records a peer's status; does nothing if this controller does not lead.
   *
   * @param echo the latest stamp that the peer received from this process, or null if none
   */
  void recordPeerStatus(MembershipStatus status, StampEcho echo) {
    if (leader != null) {
      leader.onMembershipStatus(status, echo);
    }
  }

  /**
   * Records workers' leases that a peer has renewed; does nothing if this controller does not lead.
   */
  void recordDelegatedRenewals(DelegatedRenewals renewals) {
    if (leader != null) {
      leader.onDelegatedRenewals(renewals);
    }
  }

  /** Writes the ended task runs after the given run number. The leader must be ready. */
  void writeHistory(JsonGenerator out, long afterRun) throws IOException {
    leader.writeHistory(out, afterRun);
  }

  /** Writes the leader's fields of {@code GET /metrics}; nothing if it is not ready. */
  void writeMetrics(JsonGenerator out) throws IOException {
    if (isReady()) {
      leader.writeMetrics(out);
    }
  }
}
