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
 * Answers heartbeats on behalf of a leader that can't be reached, so that workers' leases are
 * renewed, and never with a command. A leader grants that for a bounded time, counted on this
 * controller's clock from the sending of what the grant answers: a grant that was delayed on its
 * way is worth no more for it. The argument is in docs/delegation.md.
 *
 * <p>Confined to the event loop thread. All times are microseconds of this controller's steady
 * clock.
 */
public final class HeartbeatDelegate {
  /**
   * Five times the period of status messages: a leader not heard for so long may be gone, or this
   * controller cut off.
   */
  private static final long HEARD_LATELY_MICROS = 2_000_000;

  /** Leases that were renewed longer ago have certainly expired, and need not be reported. */
  private static final long REPORT_SLACK_MICROS = 2_000_000;

  private static final int RENEWALS_MESSAGE_BYTES = PeerMessageCodec.MAX_BYTES / 2;

  /**
   * A renewal's bytes in a message beside the machine's name, whose letters may take three bytes
   * each.
   */
  private static final int RENEWAL_BYTES = 6;

  private final Scheduler scheduler;
  private final SafetyBounds safety;
  private final String member;
  private final long incarnation;
  private final long bornMicros;
  private final Map<String, PeerContact> peers = new HashMap<>();

  /** Each machine's latest answer; the machine answered longest ago comes first. */
  private final Map<String, Answered> answered = new LinkedHashMap<>();

  private long grantTerm;
  private String granter;
  private long grantEndMicros;
  private long renewalSafeUntilMicros = Long.MIN_VALUE / 4;

  /** When an answer was given, and the epoch and sequence number of the heartbeat it was for. */
  private record Answered(long atMicros, long epoch, long sequence) {}

  /** The process and stamp last heard of a peer, and when on this controller's clock. */
  private record PeerContact(long incarnation, long stampMicros, long heardMicros) {}

  /**
   * Creates a delegate without a grant.
   *
   * @param scheduler the steady clock
   * @param safety the length of a worker's lease, with its margin
   * @param member this controller's name
   * @param incarnation a random number that tells this process from others of the same name
   */
  public HeartbeatDelegate(
      Scheduler scheduler, SafetyBounds safety, String member, long incarnation) {
    this.scheduler = scheduler;
    this.safety = safety;
    this.member = member;
    this.incarnation = incarnation;
    bornMicros = scheduler.nowMicros();
  }

  /**
   * Notes a peer's status. If it leads in the highest term known and grants this process something,
   * that grant counts from now on.
   */
  public void recordStatus(MembershipStatus status, long highestTerm) {
    peers.put(
        status.member(),
        new PeerContact(status.incarnation(), status.stampMicros(), scheduler.nowMicros()));
    StampEcho echo = echoOfThisProcess(status);
    if (echo == null || status.term() != highestTerm || status.grantMicros() <= 0) {
      return;
    }
    long end = echo.stampMicros() + SafetyBounds.minusClockDrift(status.grantMicros());
    grantEndMicros = status.term() == grantTerm ? Math.max(grantEndMicros, end) : end;
    renewalSafeUntil(end);
    grantTerm = status.term();
    granter = status.member();
  }

  /** What the peer has heard of this very process, or null if nothing. */
  public StampEcho echoOfThisProcess(MembershipStatus status) {
    for (StampEcho echo : status.echoes()) {
      if (echo.member().equals(member) && echo.incarnation() == incarnation) {
        return echo;
      }
    }
    return null;
  }

  /** Whether the peer was heard within the last 2 s. */
  public boolean hasHeardLately(String peer) {
    PeerContact last = peers.get(peer);
    return last != null && scheduler.nowMicros() - last.heardMicros() < HEARD_LATELY_MICROS;
  }

  /**
   * Whether heartbeats may be answered under the grant: no higher term is known, the grant lasts,
   * and nothing was heard for a while of the leader that gave it.
   */
  public boolean mayAnswer(long highestTerm) {
    long nowMicros = scheduler.nowMicros();
    return grantTerm > 0
        && grantTerm == highestTerm
        && nowMicros < grantEndMicros
        && nowMicros - peers.get(granter).heardMicros() > safety.leaderSilenceMicros();
  }

  /** Notes the end of a grant that this process has given itself, as the leader. */
  public void renewalSafeUntil(long grantEnd) {
    renewalSafeUntilMicros = Math.max(renewalSafeUntilMicros, grantEnd);
  }

  /**
   * Up to this moment an answer without commands keeps no cancelled task for too long, whoever
   * gives it and in whatever term: it is the latest end of any grant that this process has received
   * or given. Of the jobs that were cancelled before the news that the grant counts from, no task
   * was left anywhere, and a lease that such an answer renews expires in time for those cancelled
   * since. Far in the past if there was no grant.
   */
  public long renewalSafeUntilMicros() {
    return renewalSafeUntilMicros;
  }

  /** The term of the grant, under whose token heartbeats are answered; 0 without a grant. */
  public long grantTerm() {
    return grantTerm;
  }

  /**
   * Notes that a heartbeat is answered at this moment.
   *
   * @return false if a later heartbeat of the worker has been answered: this one is a late copy,
   *     and must not be answered
   */
  public boolean recordAnswer(Heartbeat heartbeat) {
    Answered last = answered.get(heartbeat.machine());
    if (last != null && !heartbeat.newerThan(last.epoch(), last.sequence())) {
      return false;
    }
    answered.remove(heartbeat.machine());
    answered.put(
        heartbeat.machine(),
        new Answered(scheduler.nowMicros(), heartbeat.epoch(), heartbeat.sequence()));
    return true;
  }

  /**
   * What peers are to be sent: which machines this process has answered within the length of a
   * lease, and then its status.
   *
   * @param highestTerm the highest term known
   * @param grantMicros for how long peers may answer, if this controller leads; else 0
   * @param echoes the stamps to be sent back, as {@link #echoes}
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
            nowMicros - bornMicros,
            highestTerm,
            grantMicros,
            messages.size(),
            echoes));
    return messages;
  }

  /** The renewals, in as many messages as keep each within its bound; forgets expired ones. */
  private List<PeerMessage> renewalMessages(long nowMicros) {
    List<PeerMessage> messages = new ArrayList<>();
    List<LeaseRenewal> renewals = new ArrayList<>();
    int bytes = 0;
    Iterator<Map.Entry<String, Answered>> entries = answered.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Answered> entry = entries.next();
      long agoMicros = nowMicros - entry.getValue().atMicros();
      if (agoMicros > safety.leaseMicros() + REPORT_SLACK_MICROS) {
        entries.remove();
        continue;
      }
      renewals.add(new LeaseRenewal(entry.getKey(), (int) (agoMicros / 1000)));
      bytes += RENEWAL_BYTES + 3 * entry.getKey().length();
      if (bytes > RENEWALS_MESSAGE_BYTES) {
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

  /** The stamps last heard of each peer, to be sent back. */
  public List<StampEcho> echoes() {
    return peers.entrySet().stream().map(peer -> echo(peer.getKey(), peer.getValue())).toList();
  }

  private static StampEcho echo(String peer, PeerContact last) {
    return new StampEcho(peer, last.incarnation(), last.stampMicros());
  }
}
