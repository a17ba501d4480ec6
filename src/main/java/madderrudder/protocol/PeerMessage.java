package madderrudder.protocol;

import java.util.List;

/**
 * A message between controllers. {@link PeerMessageCodec} defines the encoding; each kind of
 * message has a type number there.
 */
public sealed interface PeerMessage {
  /**
   * The periodic status of a controller.
   *
   * @param member the sender's name
   * @param term the highest term that the sender has observed
   * @param leader the name of the leader of that term; empty if none is known to the sender
   * @param storeReachable whether the store responds to the sender
   * @param spareMilliWrites if the sender leads, the write rate that it leaves to the controllers
   *     for their users' requests, in thousandths of writes per second
   * @param wantedMilliWrites the write rate that the sender's own users request, in thousandths of
   *     writes per second
   */
  record NodeStatus(
      String member,
      long term,
      String leader,
      boolean storeReachable,
      int spareMilliWrites,
      int wantedMilliWrites)
      implements PeerMessage {}

  /**
   * The progress of some jobs, sent by the leader so that other controllers can report it to users.
   *
   * @param term the leader's term
   * @param jobs the progress of each job
   */
  record ProgressUpdate(long term, List<JobProgress> jobs) implements PeerMessage {}

  /**
   * The progress of one job.
   *
   * @param job the job's id
   * @param done the number of completed tasks
   * @param running the number of running tasks
   */
  record JobProgress(String job, int done, int running) {}

  /**
   * The sender's contact with its peers and the delegation that it grants them. A restarted
   * controller keeps its name, so each process is told apart by its incarnation.
   *
   * @param member the sender's name
   * @param incarnation the incarnation of the sending process
   * @param stampMicros the sender's monotonic clock at the time of sending, which peers echo
   * @param uptimeMicros the uptime of the sending process
   * @param term the highest term that the sender has observed
   * @param grantMicros if the sender leads in the term, how long a peer may answer workers on its
   *     behalf, counted from the peer's stamp in {@code echoes}; otherwise 0
   * @param renewalMessageCount the number of {@link DelegatedRenewals} messages with the same stamp
   *     that precede this message
   * @param echoes the stamp that the sender last received from each peer
   */
  record MembershipStatus(
      String member,
      long incarnation,
      long stampMicros,
      long uptimeMicros,
      long term,
      long grantMicros,
      int renewalMessageCount,
      List<StampEcho> echoes)
      implements PeerMessage {}

  /**
   * The stamp last received from one process of a peer, sent back to that peer.
   *
   * @param member the peer's name
   * @param incarnation the incarnation of the peer's process
   * @param stampMicros the stamp, which is a reading of the peer's monotonic clock
   */
  record StampEcho(String member, long incarnation, long stampMicros) {}

  /**
   * The recent lease renewals that the sender made on a leader's behalf.
   *
   * @param member the sender's name
   * @param incarnation the incarnation of the sending process
   * @param stampMicros the stamp of the {@link MembershipStatus} that follows
   * @param renewals the renewals, one per machine
   */
  record DelegatedRenewals(
      String member, long incarnation, long stampMicros, List<LeaseRenewal> renewals)
      implements PeerMessage {}

  /**
   * The renewal of one machine's lease.
   *
   * @param machine the machine's id
   * @param ageMillis the time between the renewal and the sending of the message
   */
  record LeaseRenewal(String machine, int ageMillis) {}

  /**
   * A heartbeat that a controller forwards to the leader because the worker can't reach the leader.
   *
   * @param member the name of the forwarding controller
   * @param requestId identifies the request among those of all processes that have had the name of
   *     the forwarding controller; the response repeats it
   * @param heartbeatBody the body of the heartbeat as the worker sent it
   */
  record ForwardedHeartbeat(String member, long requestId, String heartbeatBody)
      implements PeerMessage {}

  /**
   * The leader's response to a forwarded heartbeat.
   *
   * @param requestId the id of the forwarded heartbeat
   * @param responseBody the body of the response to the worker
   */
  record ForwardedResponse(long requestId, String responseBody) implements PeerMessage {}
}
