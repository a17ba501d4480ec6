package madderrudder.coordination.membership;

import java.util.HashMap;
import java.util.Map;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * What a leader knows of the controllers to which it has delegated the answering of heartbeats:
 * until when each may answer, and up to which moment all its answers are known. From that follows
 * when a silent machine's worker has certainly dropped its tasks. The argument is in
 * docs/delegation.md.
 *
 * <p>Confined to the event loop thread. All times are microseconds of the leader's steady clock.
 */
public final class DelegationTracker {
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final SafetyBounds safety;
  private final long termBeginMicros;
  private final Map<String, Delegate> delegates = new HashMap<>();

  /** The process of a controller that is known to be its latest. */
  private static final class Delegate {
    long incarnation;
    long firstHeardMicros;

    /** Up to this moment all its answers are known. */
    long answersKnownUpToMicros = NEVER;

    /** It may answer until this moment. */
    long grantEndMicros = NEVER;

    /** Earlier processes of its name may have answered until this moment. */
    long predecessorsEndMicros = NEVER;

    /** The stamp of the renewals that came last, and how many messages with it have come. */
    long renewalsStampMicros;

    int renewalsMessages;

    void startOver(long newIncarnation, long nowMicros) {
      incarnation = newIncarnation;
      firstHeardMicros = nowMicros;
      answersKnownUpToMicros = NEVER;
      grantEndMicros = NEVER;
      renewalsMessages = 0;
    }

    boolean hasSentAllRenewals(MembershipStatus status) {
      return status.answeredParts() == 0
          || (renewalsStampMicros == status.stampMicros()
              && renewalsMessages == status.answeredParts());
    }
  }

  /**
   * Creates a tracker that knows of no delegate.
   *
   * @param safety the length of a worker's lease, with its margin
   * @param termBeginMicros when the leader's term began
   */
  public DelegationTracker(SafetyBounds safety, long termBeginMicros) {
    this.safety = safety;
    this.termBeginMicros = termBeginMicros;
  }

  /**
   * Notes a grant that is about to be sent: the process may answer heartbeats until it ends.
   *
   * @param to the process, as it was last heard
   * @return false if it is not the latest known process of its controller; then it must not be sent
   *     the grant
   */
  public boolean grant(StampEcho to, long untilMicros) {
    Delegate delegate = delegates.get(to.member());
    if (delegate == null || delegate.incarnation != to.incarnation()) {
      return false;
    }
    delegate.grantEndMicros = Math.max(delegate.grantEndMicros, untilMicros);
    return true;
  }

  /**
   * Notes that one message of a delegate's renewals has come. The renewals themselves are for the
   * caller to enter at their machines.
   */
  public void recordRenewals(DelegatedRenewals renewals) {
    Delegate delegate = delegates.get(renewals.member());
    if (delegate == null || delegate.incarnation != renewals.incarnation()) {
      return;
    }
    boolean sameStamp = delegate.renewalsStampMicros == renewals.stampMicros();
    delegate.renewalsMessages = sameStamp ? delegate.renewalsMessages + 1 : 1;
    delegate.renewalsStampMicros = renewals.stampMicros();
  }

  /**
   * Notes the status that another controller has sent after its renewals.
   *
   * @param echo what that controller has heard of this very process, or null if nothing
   */
  public void recordStatus(MembershipStatus status, StampEcho echo, long nowMicros) {
    Delegate delegate = delegates.get(status.member());
    if (delegate == null) {
      delegate = new Delegate();
      delegate.startOver(status.incarnation(), nowMicros);
      delegates.put(status.member(), delegate);
    } else if (delegate.incarnation != status.incarnation()
        && !replace(delegate, status, echo, nowMicros)) {
      return;
    }
    if (echo != null && delegate.hasSentAllRenewals(status)) {
      delegate.answersKnownUpToMicros =
          Math.max(delegate.answersKnownUpToMicros, echo.stampMicros() + silenceAfter(echo));
    }
  }

  /** A delegate that has heard the leader of this term does not answer for a while after that. */
  private long silenceAfter(StampEcho echo) {
    return echo.stampMicros() >= termBeginMicros
        ? SafetyBounds.minusClockDrift(safety.leaderSilenceMicros())
        : 0;
  }

  /**
   * Puts a new process in the place of an earlier one of the same name, if it is the later of the
   * two. One process at a time has the name. A process that has heard what was sent after another
   * was first heard lived later than that one, which therefore ended before this one began.
   * Otherwise the message may be the earlier process's, late on its way.
   *
   * @return false if the process is not proved to be the later one
   */
  private static boolean replace(
      Delegate delegate, MembershipStatus status, StampEcho echo, long nowMicros) {
    if (echo == null || echo.stampMicros() < delegate.firstHeardMicros) {
      return false;
    }
    long bornMicros = nowMicros - SafetyBounds.minusClockDrift(status.ageMicros());
    long lastAnswerMicros = Math.min(delegate.grantEndMicros, bornMicros);
    if (lastAnswerMicros > delegate.answersKnownUpToMicros) {
      delegate.predecessorsEndMicros = Math.max(delegate.predecessorsEndMicros, lastAnswerMicros);
    }
    delegate.startOver(status.incarnation(), nowMicros);
    return true;
  }

  /**
   * Whether a worker's lease has certainly expired, so that it has dropped its tasks. A delegate
   * whose answers are not all known up to the end of the lease may have renewed it for as long as
   * its grant lasts; the answers of the others then have to be known up to that later end.
   *
   * @param lastAnsweredMicros when the worker's heartbeat was last known to be answered
   */
  public boolean leaseExpired(long lastAnsweredMicros, long nowMicros) {
    long endMicros = lastAnsweredMicros + safety.leaseMicros();
    for (Delegate delegate : delegates.values()) {
      endMicros = Math.max(endMicros, delegate.predecessorsEndMicros + safety.leaseMicros());
    }
    boolean moved = nowMicros > endMicros;
    while (moved) {
      moved = false;
      for (Delegate delegate : delegates.values()) {
        long possibleEndMicros = delegate.grantEndMicros + safety.leaseMicros();
        if (delegate.answersKnownUpToMicros < endMicros && possibleEndMicros > endMicros) {
          endMicros = possibleEndMicros;
          moved = true;
        }
      }
    }
    return nowMicros > endMicros;
  }
}
