package madderrudder.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.Scheduler;

/**
 * Decides whether this controller answers heartbeats on behalf of an unreachable leader, and
 * reports the answers to its peers. Such an answer renews a worker's lease and carries no command.
 * The leader grants the permission for a bounded time, which counts on this controller's clock from
 * when it sent the status that the grant replies to, so that a delay of the grant does not extend
 * it. docs/delegation.md contains the safety argument.
 *
 * <p>Confined to the event loop thread. All times are microseconds of this controller's monotonic
 * clock.
 */
public final class HeartbeatDelegate {
  /**
   * Five times the period of status messages. A leader without a message for this long may have
   * failed, or this controller may be partitioned.
   */
  private static final long PEER_CONTACT_TIMEOUT_MICROS = 2_000_000;

  /**
   * Margin beyond the length of a lease after which a renewal is no longer reported, since the
   * lease has certainly expired.
   */
  private static final long RENEWAL_REPORT_MARGIN_MICROS = 2_000_000;

  /**
   * A renewals message is complete when its estimated size exceeds this; the other half of the
   * limit is margin.
   */
  private static final int RENEWALS_MESSAGE_FLUSH_BYTES = PeerMessageCodec.MAX_BYTES / 2;

  /**
   * Bytes of a renewal in a message, without the machine's name. Each character of the name may
   * take up to three bytes more.
   */
  private static final int RENEWAL_OVERHEAD_BYTES = 6;

  private final Scheduler scheduler;
  private final SafetyBounds safetyBounds;
  private final String member;
  private final long incarnation;
  private final long startedMicros;
  private final Map<String, PeerContact> peers = new HashMap<>();

  /** The last answer to each machine, by machine id, oldest answer first. */
  private final Map<String, Answer> lastAnswers = new LinkedHashMap<>();

  private long grantTerm;
  private String grantingLeader;
  private long grantEndMicros;
  private long renewalSafeUntilMicros = Long.MIN_VALUE / 4;

  /**
   * The time of an answer, and the epoch and sequence number of the heartbeat that it replies to.
   */
  private record Answer(long answeredMicros, long epoch, long sequence) {}

  /**
   * The incarnation and stamp in the last status of a peer, and when that was received, on this
   * controller's clock.
   */
  private record PeerContact(long incarnation, long stampMicros, long receivedMicros) {}

  /**
   * Creates a delegate without a grant.
   *
   * @param scheduler the monotonic clock
   * @param safetyBounds the length of a worker's lease, with its safety margin
   * @param member this controller's name
   * @param incarnation a random number that distinguishes this process from others with the same
   *     name
   */
  public HeartbeatDelegate(
      Scheduler scheduler, SafetyBounds safetyBounds, String member, long incarnation) {
    this.scheduler = scheduler;
    this.safetyBounds = safetyBounds;
    this.member = member;
    this.incarnation = incarnation;
    startedMicros = scheduler.nowMicros();
  }

  /**
   * Records a peer's status. If the peer leads in the highest known term and grants this process
   * permission to answer, that grant replaces or extends the current one.
   */
  public void recordPeerStatus(MembershipStatus status, long highestTerm) {
    peers.put(
        status.member(),
        new PeerContact(status.incarnation(), status.stampMicros(), scheduler.nowMicros()));
    StampEcho echo = echoOfThisProcess(status);
    if (echo == null || status.term() != highestTerm || status.grantMicros() <= 0) {
      return;
    }
    long end = echo.stampMicros() + SafetyBounds.shortenByClockDrift(status.grantMicros());
    grantEndMicros = status.term() == grantTerm ? Math.max(grantEndMicros, end) : end;
    extendRenewalSafety(end);
    grantTerm = status.term();
    grantingLeader = status.member();
  }

  /** Returns the last stamp of this process that the peer has received, or null if none. */
  public StampEcho echoOfThisProcess(MembershipStatus status) {
    for (StampEcho echo : status.echoes()) {
      if (echo.member().equals(member) && echo.incarnation() == incarnation) {
        return echo;
      }
    }
    return null;
  }

  /** Returns whether a status of the peer was received within the last 2 s. */
  public boolean hasRecentContact(String peer) {
    PeerContact last = peers.get(peer);
    return last != null
        && scheduler.nowMicros() - last.receivedMicros() < PEER_CONTACT_TIMEOUT_MICROS;
  }

  /**
   * Returns whether heartbeats may be answered under the grant: no higher term is known, the grant
   * has not ended, and no status of the granting leader was received for {@link
   * SafetyBounds#leaderSilenceMicros}.
   */
  public boolean mayAnswer(long highestTerm) {
    long nowMicros = scheduler.nowMicros();
    return grantTerm > 0
        && grantTerm == highestTerm
        && nowMicros < grantEndMicros
        && nowMicros - peers.get(grantingLeader).receivedMicros()
            > safetyBounds.leaderSilenceMicros();
  }

  /** Records the end of a grant that this process has issued as the leader. */
  public void extendRenewalSafety(long grantEnd) {
    renewalSafeUntilMicros = Math.max(renewalSafeUntilMicros, grantEnd);
  }

  /**
   * Returns the time until which an answer without commands cannot keep a cancelled task running
   * beyond its deadline, whichever controller gives the answer and in whichever term. This is the
   * latest end of any grant that this process has received or issued. A grant counts from a time up
   * to which the leader had read the content of the store. No task was left of the jobs that were
   * cancelled before that time, and a lease that such an answer renews expires in time for the jobs
   * cancelled since. Far in the past if there was no grant.
   */
  public long renewalSafeUntilMicros() {
    return renewalSafeUntilMicros;
  }

  /** Returns the term of the grant, whose fencing token the answers carry; 0 without a grant. */
  public long grantTerm() {
    return grantTerm;
  }

  /**
   * Records that a heartbeat is answered now.
   *
   * @return false if this heartbeat or a later one of the worker was answered before; this one is
   *     then a late copy, and must not be answered
   */
  public boolean tryRecordAnswer(Heartbeat heartbeat) {
    Answer last = lastAnswers.get(heartbeat.machine());
    if (last != null && !heartbeat.isNewerThan(last.epoch(), last.sequence())) {
      return false;
    }
    lastAnswers.remove(heartbeat.machine());
    lastAnswers.put(
        heartbeat.machine(),
        new Answer(scheduler.nowMicros(), heartbeat.epoch(), heartbeat.sequence()));
    return true;
  }

  /**
   * Returns the messages to broadcast to peers: the machines that this process has answered within
   * the length of a lease, followed by its status.
   *
   * @param highestTerm the highest known term
   * @param grantMicros for how long peers may answer, if this controller leads; else 0
   * @param echoes the stamps to send back: {@link #peerEchoes}, or, if the status carries a grant,
   *     only those of the processes that may receive it
   */
  public List<PeerMessage> statusMessages(
      long highestTerm, long grantMicros, List<StampEcho> echoes) {
    long nowMicros = scheduler.nowMicros();
    List<PeerMessage> messages = renewalMessages(nowMicros);
    messages.add(
        new MembershipStatus(
            member,
            incarnation,
            nowMicros,
            nowMicros - startedMicros,
            highestTerm,
            grantMicros,
            messages.size(),
            echoes));
    return messages;
  }

  /** Returns the renewals, split into messages within the size limit, and removes expired ones. */
  private List<PeerMessage> renewalMessages(long nowMicros) {
    List<PeerMessage> messages = new ArrayList<>();
    List<LeaseRenewal> renewals = new ArrayList<>();
    int bytes = 0;
    Iterator<Map.Entry<String, Answer>> entries = lastAnswers.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Answer> entry = entries.next();
      long ageMicros = nowMicros - entry.getValue().answeredMicros();
      if (ageMicros > safetyBounds.workerLeaseExpiryMicros() + RENEWAL_REPORT_MARGIN_MICROS) {
        entries.remove();
        continue;
      }
      renewals.add(new LeaseRenewal(entry.getKey(), (int) (ageMicros / 1000)));
      bytes += RENEWAL_OVERHEAD_BYTES + 3 * entry.getKey().length();
      if (bytes > RENEWALS_MESSAGE_FLUSH_BYTES) {
        messages.add(new DelegatedRenewals(member, incarnation, nowMicros, renewals));
        renewals = new ArrayList<>();
        bytes = 0;
      }
    }
    if (!renewals.isEmpty()) {
      messages.add(new DelegatedRenewals(member, incarnation, nowMicros, renewals));
    }
    return messages;
  }

  /** Returns the last received stamp of each peer, to be sent back. */
  public List<StampEcho> peerEchoes() {
    return peers.entrySet().stream().map(peer -> echo(peer.getKey(), peer.getValue())).toList();
  }

  private static StampEcho echo(String peer, PeerContact last) {
    return new StampEcho(peer, last.incarnation(), last.stampMicros());
  }
}
