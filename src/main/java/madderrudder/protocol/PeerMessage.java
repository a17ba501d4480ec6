package madderrudder.protocol;

import java.util.List;

/**
 * A message between controllers. {@link PeerMessageCodec} gives them their byte form; a new kind of
 * message needs a type there.
 */
public sealed interface PeerMessage {
  /**
   * A sign of life.
   *
   * @param member the sender's name
   * @param term the highest term that the sender knows of
   * @param leader the name of the leader of that term; empty if the sender knows none
   * @param storeAnswers whether the state service answers the sender
   * @param spareMilliWrites if the sender leads, the thousandths of writes per second that it
   *     leaves to the members for their users
   * @param wantedMilliWrites the thousandths of writes per second that the sender's own users want
   */
  record NodeStatus(
      String member,
      long term,
      String leader,
      boolean storeAnswers,
      int spareMilliWrites,
      int wantedMilliWrites)
      implements PeerMessage {}

  /**
   * The progress of some jobs, for display by controllers that don't lead.
   *
   * @param term the leader's term
   * @param jobs the jobs with their progress
   */
  record ProgressUpdate(long term, List<JobProgress> jobs) implements PeerMessage {}

  /**
   * The progress of one job.
   *
   * @param job the job's id
   * @param done how many of its tasks are completed
   * @param running how many of its tasks run
   */
  record JobProgress(String job, int done, int running) {}

  /**
   * How the sender stands with its peers. Several processes may have lived under the sender's name;
   * each is an incarnation.
   *
   * @param member the sender's name
   * @param incarnation the sender's process
   * @param stampMicros the sender's steady clock, which peers send back
   * @param ageMicros how long the process has lived
   * @param term the highest term that the sender knows of
   * @param grantMicros if the sender leads in the term, for how long from the stamp on a peer may
   *     answer workers on its behalf; otherwise 0
   * @param answeredParts how many {@link DelegatedRenewals} of the same stamp were sent before
   * @param echoes the stamps that the sender heard last of its peers
   */
  record MembershipStatus(
      String member,
      long incarnation,
      long stampMicros,
      long ageMicros,
      long term,
      long grantMicros,
      int answeredParts,
      List<StampEcho> echoes)
      implements PeerMessage {}

  /**
   * The stamp that was heard last of one process of a peer.
   *
   * @param member the peer's name
   * @param incarnation the peer's process
   * @param stampMicros the stamp, of the peer's steady clock
   */
  record StampEcho(String member, long incarnation, long stampMicros) {}

  /**
   * Machines whose leases the sender has lately renewed on a leader's behalf.
   *
   * @param member the sender's name
   * @param incarnation the sender's process
   * @param stampMicros the stamp of the {@link MembershipStatus} that follows
   * @param answers the renewals
   */
  record DelegatedRenewals(
      String member, long incarnation, long stampMicros, List<LeaseRenewal> answers)
      implements PeerMessage {}

  /**
   * The renewal of one machine's lease.
   *
   * @param machine the machine's id
   * @param agoMillis how long before the message was sent
   */
  record LeaseRenewal(String machine, int agoMillis) {}

  /**
   * A heartbeat from a controller to the leader that the worker can't reach.
   *
   * @param member the name of the forwarding controller
   * @param number its number for the heartbeat, which the response repeats
   * @param report the heartbeat as the worker sent it
   */
  record ForwardedHeartbeat(String member, long number, String report) implements PeerMessage {}

  /**
   * The leader's response to a forwarded heartbeat.
   *
   * @param number the number of the forwarded heartbeat
   * @param answer the response as the worker is to get it
   */
  record ForwardedResponse(long number, String answer) implements PeerMessage {}
}
