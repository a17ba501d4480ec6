package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import org.junit.jupiter.api.Test;

class TermAcknowledgementsTest {
  private static final long SECOND = 1_000_000;
  private static final long TERM = 3;

  private final TermAcknowledgements acknowledgements =
      new TermAcknowledgements(TERM, Set.of("n-1", "n-2"));

  private static MembershipStatus status(String member, long incarnation, long term) {
    return new MembershipStatus(member, incarnation, 5, 0, term, 0, 0, List.of());
  }

  /** What a controller says it has heard of the leader. */
  private static StampEcho echo(long micros) {
    return new StampEcho("n-0", 1, micros);
  }

  /**
   * Each has to acknowledge again in answer to what was sent after all had acknowledged: the next
   * process of its name may not know the term.
   */
  @Test
  void othersAcknowledgeInTwoRounds() {
    MembershipStatus one = status("n-1", 7, TERM);
    MembershipStatus two = status("n-2", 1, TERM);
    MembershipStatus unknowing = status("n-1", 8, TERM - 1);
    assertFalse(acknowledgements.record(one, echo(9 * SECOND), 10 * SECOND));
    assertFalse(
        acknowledgements.record(one, echo(11 * SECOND), 11 * SECOND),
        "the other has not acknowledged");
    assertFalse(acknowledgements.record(two, echo(11 * SECOND), 12 * SECOND));
    assertFalse(
        acknowledgements.record(one, echo(12 * SECOND), 13 * SECOND),
        "sent before all had acknowledged");
    assertFalse(acknowledgements.record(one, null, 13 * SECOND));
    assertFalse(acknowledgements.record(two, echo(13 * SECOND), 14 * SECOND));
    assertFalse(
        acknowledgements.record(unknowing, echo(13 * SECOND), 14 * SECOND),
        "the next process does not know the term");
    assertFalse(acknowledgements.complete());
    assertTrue(acknowledgements.record(one, echo(14 * SECOND), 15 * SECOND));
    assertTrue(acknowledgements.complete());
    assertFalse(
        acknowledgements.record(one, echo(15 * SECOND), 16 * SECOND), "completed once only");
  }

  @Test
  void withoutOthersNothingIsToBeAcknowledged() {
    assertTrue(new TermAcknowledgements(TERM, Set.of()).complete());
  }
}
