package madderrudder.coordination.membership;

import java.util.HashSet;
import java.util.Set;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * Whether no process of another controller answers workers for an earlier term any more. It takes
 * two rounds. Once a process of each controller has said that it knows of this term, nobody leads
 * in an earlier one, and nobody grants anything under it. But one that said so may have ended
 * since, and another process of its name may not know, and hold a grant that was given before. So
 * each has to say it once more in answer to what was sent after that: a process that says so heeds
 * no older grant, and those after it get none.
 */
public final class TermAcknowledgements {
  private final long term;
  private final Set<String> others;
  private final Set<String> know = new HashSet<>();
  private final Set<String> knowStill = new HashSet<>();
  private long allKnewMicros;

  /** The other controllers, and the term that they are to know of. */
  public TermAcknowledgements(long term, Set<String> others) {
    this.term = term;
    this.others = Set.copyOf(others);
  }

  /**
   * A controller's word, with what it has heard of this process, or null; true if with it all have
   * stood back.
   */
  public boolean heard(MembershipStatus standing, StampEcho mine, long nowMicros) {
    if (all() || standing.term() < term || !others.contains(standing.member())) {
      return false;
    }
    if (!know.containsAll(others)) {
      know.add(standing.member());
      allKnewMicros = nowMicros;
    } else if (mine != null && mine.stampMicros() > allKnewMicros) {
      knowStill.add(standing.member());
    }
    return all();
  }

  /** All have; without others there is nobody to do so. */
  public boolean all() {
    return knowStill.containsAll(others);
  }
}
