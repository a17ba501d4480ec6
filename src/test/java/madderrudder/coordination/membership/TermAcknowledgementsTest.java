package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that considers earlier terms ended while another process may still answer
 * workers under them, because a controller restarted after it had acknowledged the new term.
 */
class TermAcknowledgementsTest {
  private static final long SECOND = 1_000_000;
  private static final long TERM = 3;

  private final TermAcknowledgements acknowledgements =
      new TermAcknowledgements(TERM, Set.of("n-1", "n-2"));

  private static MembershipStatus status(String member, long incarnation, long term) {
    return new MembershipStatus(member, incarnation, 5, 0, term, 0, 0, List.of());
  }

  /** The last stamp of the leader that a controller has received. */
  private static StampEcho echo(long micros) {
    return new StampEcho("n-0", 1, micros);
  }

  /**
   * Each controller acknowledges a second time, in reply to a status sent after the first round,
   * because a restarted process of the same name may not have observed the term.
   */
  @Test
  void completesAfterTwoRoundsOfAcknowledgements() {
    MembershipStatus statusOfFirst = status("n-1", 7, TERM);
    MembershipStatus statusOfSecond = status("n-2", 1, TERM);
    MembershipStatus statusWithOldTerm = status("n-1", 8, TERM - 1);
    assertFalse(acknowledgements.recordStatus(statusOfFirst, echo(9 * SECOND), 10 * SECOND));
    assertFalse(
        acknowledgements.recordStatus(statusOfFirst, echo(11 * SECOND), 11 * SECOND),
        "n-2 has not acknowledged");
    assertFalse(acknowledgements.recordStatus(statusOfSecond, echo(11 * SECOND), 12 * SECOND));
    assertFalse(
        acknowledgements.recordStatus(statusOfFirst, echo(12 * SECOND), 13 * SECOND),
        "the status replies to one sent before the first round was complete");
    assertFalse(acknowledgements.recordStatus(statusOfFirst, null, 13 * SECOND));
    assertFalse(acknowledgements.recordStatus(statusOfSecond, echo(13 * SECOND), 14 * SECOND));
    assertFalse(
        acknowledgements.recordStatus(statusWithOldTerm, echo(13 * SECOND), 14 * SECOND),
        "the restarted process does not know the term");
    assertFalse(acknowledgements.isComplete());
    assertTrue(acknowledgements.recordStatus(statusOfFirst, echo(14 * SECOND), 15 * SECOND));
    assertTrue(acknowledgements.isComplete());
    assertFalse(
        acknowledgements.recordStatus(statusOfFirst, echo(15 * SECOND), 16 * SECOND),
        "completion is reported only once");
  }

  @Test
  void isCompleteWithoutOtherControllers() {
    assertTrue(new TermAcknowledgements(TERM, Set.of()).isComplete());
  }
}
