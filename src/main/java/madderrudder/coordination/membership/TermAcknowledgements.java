package madderrudder.coordination.membership;

import java.util.HashSet;
import java.util.Set;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * Tracks whether any process of another controller may still answer workers under an earlier term.
 * Each controller acknowledges the new term twice.
 *
 * <p>When each controller has acknowledged once, no controller leads in an earlier term, and none
 * issues a grant under it. A process that acknowledged may have restarted since, however, and its
 * successor may not have observed the new term and may hold a grant that was issued before. Each
 * controller therefore acknowledges again, in reply to a status that was sent after the first round
 * was complete. A process that does so ignores older grants, and its successors receive none.
 *
 * <p>Confined to the event loop thread.
 */
public final class TermAcknowledgements {
  private final long term;
  private final Set<String> otherMembers;
  private final Set<String> firstRound = new HashSet<>();
  private final Set<String> secondRound = new HashSet<>();
  private long firstRoundCompletedMicros;

  /**
   * Creates a tracker without any acknowledgement.
   *
   * @param term the term to be acknowledged
   * @param otherMembers the names of the other controllers
   */
  public TermAcknowledgements(long term, Set<String> otherMembers) {
    this.term = term;
    this.otherMembers = Set.copyOf(otherMembers);
  }

  /**
   * Records a controller's status, which is an acknowledgement if it names this term or a higher
   * one.
   *
   * @param echo the last stamp of this process that the controller has received, or null if none
   * @param nowMicros the current time of the monotonic clock in microseconds
   * @return true if this status completes the second round; later calls return false
   */
  public boolean recordStatus(MembershipStatus status, StampEcho echo, long nowMicros) {
    if (isComplete() || status.term() < term || !otherMembers.contains(status.member())) {
      return false;
    }
    if (!firstRound.containsAll(otherMembers)) {
      firstRound.add(status.member());
      firstRoundCompletedMicros = nowMicros;
    } else if (echo != null && echo.stampMicros() > firstRoundCompletedMicros) {
      secondRound.add(status.member());
    }
    return isComplete();
  }

  /**
   * Returns whether all other controllers have acknowledged twice; always true if there are none.
   */
  public boolean isComplete() {
    return secondRound.containsAll(otherMembers);
  }
}
