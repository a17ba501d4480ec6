package madderrudder.coordination.membership;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * Tracks the controllers to which a leader has delegated the answering of heartbeats: until when
 * each may answer, and up to which time all its answers are known. From these the tracker derives
 * when the worker of a silent machine has certainly killed its tasks. docs/delegation.md contains
 * the safety argument.
 *
 * <p>Confined to the event loop thread. All times are microseconds of the leader's monotonic clock.
 */
public final class DelegationTracker {
  private static final long DISTANT_PAST_MICROS = Long.MIN_VALUE / 4;

  private final SafetyBounds safetyBounds;
  private final long termBeginMicros;
  private final Map<String, Delegate> delegates = new HashMap<>();

  /** The latest known process of a controller. */
  private static final class Delegate {
    long incarnation;

    /** When the first status of this process was received. */
    long firstStatusMicros;

    /** All answers that the process gave up to this time are known. */
    long answersKnownUpToMicros = DISTANT_PAST_MICROS;

    /** The process may answer heartbeats until this time. */
    long grantEndMicros = DISTANT_PAST_MICROS;

    /** Earlier processes of the same controller may have answered heartbeats until this time. */
    long predecessorsAnswerEndMicros = DISTANT_PAST_MICROS;

    /** The stamp of the last renewals message. */
    long renewalsStampMicros;

    /** How many renewals messages with that stamp were received. */
    int renewalsMessageCount;

    void reset(long newIncarnation, long nowMicros) {
      incarnation = newIncarnation;
      firstStatusMicros = nowMicros;
      answersKnownUpToMicros = DISTANT_PAST_MICROS;
      grantEndMicros = DISTANT_PAST_MICROS;
      renewalsMessageCount = 0;
    }

    boolean allRenewalsReceived(MembershipStatus status) {
      return status.renewalMessageCount() == 0
          || (renewalsStampMicros == status.stampMicros()
              && renewalsMessageCount == status.renewalMessageCount());
    }
  }

  /**
   * Creates a tracker without delegates.
   *
   * @param safetyBounds the length of a worker's lease, with its safety margin
   * @param termBeginMicros when the leader's term began
   */
  public DelegationTracker(SafetyBounds safetyBounds, long termBeginMicros) {
    this.safetyBounds = safetyBounds;
    this.termBeginMicros = termBeginMicros;
  }

  /**
   * Records a grant before it is sent: the process may answer heartbeats until the grant ends.
   *
   * @param to the process that receives the grant, with its last received stamp
   * @param untilMicros when the grant ends
   * @return false if the process is not the latest known one of its controller; the grant must then
   *     not be sent
   */
  public boolean recordGrant(StampEcho to, long untilMicros) {
    Delegate delegate = delegates.get(to.member());
    if (delegate == null || delegate.incarnation != to.incarnation()) {
      return false;
    }
    delegate.grantEndMicros = Math.max(delegate.grantEndMicros, untilMicros);
    return true;
  }

  /**
   * Records that one message of a delegate's renewals was received. The caller applies the renewals
   * to the machines.
   */
  public void recordRenewalsMessage(DelegatedRenewals renewals) {
    Delegate delegate = delegates.get(renewals.member());
    if (delegate == null || delegate.incarnation != renewals.incarnation()) {
      return;
    }
    boolean sameStamp = delegate.renewalsStampMicros == renewals.stampMicros();
    delegate.renewalsMessageCount = sameStamp ? delegate.renewalsMessageCount + 1 : 1;
    delegate.renewalsStampMicros = renewals.stampMicros();
  }

  /**
   * Records a status that another controller has sent after its renewals.
   *
   * @param echo the last stamp of this process that the controller has received, or null if none
   */
  public void recordStatus(MembershipStatus status, StampEcho echo, long nowMicros) {
    Delegate delegate = delegates.get(status.member());
    if (delegate == null) {
      delegate = new Delegate();
      delegate.reset(status.incarnation(), nowMicros);
      delegates.put(status.member(), delegate);
    } else if (delegate.incarnation != status.incarnation()
        && !replaceIfLater(delegate, status, echo, nowMicros)) {
      return;
    }
    if (echo != null && delegate.allRenewalsReceived(status)) {
      delegate.answersKnownUpToMicros =
          Math.max(delegate.answersKnownUpToMicros, echo.stampMicros() + silenceMicrosAfter(echo));
    }
  }

  /**
   * Returns for how long after the echoed stamp a delegate gives no answer, since it has then
   * received a message of this term's leader; 0 if the stamp is from before the term.
   */
  private long silenceMicrosAfter(StampEcho echo) {
    return echo.stampMicros() >= termBeginMicros
        ? SafetyBounds.shortenByClockDrift(safetyBounds.leaderSilenceMicros())
        : 0;
  }

  /**
   * Replaces the known process of a controller by the sender of the status if that is the later of
   * the two. At most one running process has a controller's name. A process that has received a
   * message sent after the other's first status arrived is the later one, so the other ended before
   * it started. Without that proof the status may be a delayed message of the earlier process.
   *
   * @return false if the sender is not proved to be the later process
   */
  private static boolean replaceIfLater(
      Delegate delegate, MembershipStatus status, StampEcho echo, long nowMicros) {
    if (echo == null || echo.stampMicros() < delegate.firstStatusMicros) {
      return false;
    }
    long startedMicros = nowMicros - SafetyBounds.shortenByClockDrift(status.uptimeMicros());
    long lastAnswerMicros = Math.min(delegate.grantEndMicros, startedMicros);
    if (lastAnswerMicros > delegate.answersKnownUpToMicros) {
      delegate.predecessorsAnswerEndMicros =
          Math.max(delegate.predecessorsAnswerEndMicros, lastAnswerMicros);
    }
    delegate.reset(status.incarnation(), nowMicros);
    return true;
  }

  /**
   * Returns whether a worker's lease has certainly expired, so that the worker has killed its
   * tasks. A delegate whose answers are not all known up to the end of the lease may have renewed
   * it until its grant ended. The lease may then end later, and the answers of the other delegates
   * have to be known up to that later end.
   *
   * @param lastLeaseRenewalMicros the time of the last known answer to the worker
   */
  public boolean leaseExpired(long lastLeaseRenewalMicros, long nowMicros) {
    long endMicros = lastLeaseRenewalMicros + safetyBounds.workerLeaseExpiryMicros();
    for (Delegate delegate : delegates.values()) {
      endMicros =
          Math.max(
              endMicros,
              delegate.predecessorsAnswerEndMicros + safetyBounds.workerLeaseExpiryMicros());
    }
    boolean recheck = nowMicros > endMicros;
    while (recheck) {
      recheck = false;
      for (Delegate delegate : delegates.values()) {
        long delegatedEndMicros = delegate.grantEndMicros + safetyBounds.workerLeaseExpiryMicros();
        if (delegate.answersKnownUpToMicros < endMicros && delegatedEndMicros > endMicros) {
          endMicros = delegatedEndMicros;
          recheck = true;
        }
      }
    }
    return nowMicros > endMicros;
  }
}
