package madderrudder.coordination.membership;

import java.util.HashSet;
import java.util.Set;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * Whether any process of another controller may still answer workers under an earlier term. Each
 * controller has to acknowledge the new term twice. Once a process of each has done so, nobody
 * leads in an earlier term, and nobody grants anything under it. But a process that acknowledged
 * may have ended since, and the next process of its name may not know the term, and hold a grant
 * that was given before. So each controller has to acknowledge once more, in answer to what was
 * sent after the first round was complete: a process that does so heeds no older grant, and those
 * after it get none.
 *
 * <p>Confined to the event loop thread.
 */
public final class TermAcknowledgements {
  private final long term;
  private final Set<String> others;
  private final Set<String> firstRound = new HashSet<>();
  private final Set<String> secondRound = new HashSet<>();
  private long firstRoundEndMicros;

  /**
   * Begins with no acknowledgement.
   *
   * @param term the term to be acknowledged
   * @param others the names of the other controllers
   */
  public TermAcknowledgements(long term, Set<String> others) {
    this.term = term;
    this.others = Set.copyOf(others);
  }

  /**
   * Counts a controller's status as an acknowledgement if it is one.
   *
   * @param echo what that controller has heard of this very process, or null if nothing
   * @param nowMicros the steady clock in microseconds
   * @return true if this status completes the second round, which happens once
   */
  public boolean record(MembershipStatus status, StampEcho echo, long nowMicros) {
    if (complete() || status.term() < term || !others.contains(status.member())) {
      return false;
    }
    if (!firstRound.containsAll(others)) {
      firstRound.add(status.member());
      firstRoundEndMicros = nowMicros;
    } else if (echo != null && echo.stampMicros() > firstRoundEndMicros) {
      secondRound.add(status.member());
    }
    return complete();
  }

  /** Whether all others have acknowledged twice; true at once where there are no others. */
  public boolean complete() {
    return secondRound.containsAll(others);
  }
}
