package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that considers a silent worker's lease expired, and places its tasks
 * again, while a delegate may have renewed the lease.
 */
class DelegationTrackerTest {
  private static final long SECOND = 1_000_000;
  private static final long LEASE = 10 * SECOND;
  private static final long FIRST_PROCESS = 7;
  private static final long SECOND_PROCESS = 8;
  private static final SafetyBounds SAFETY = new SafetyBounds(LEASE, 20 * SECOND);

  private final DelegationTracker tracker = new DelegationTracker(SAFETY, 0);

  private static MembershipStatus status(long incarnation, int renewalsMessageCount) {
    return new MembershipStatus("n-1", incarnation, 5, 0, 3, 0, renewalsMessageCount, List.of());
  }

  private static MembershipStatus statusOfOther(long stampMicros) {
    return new MembershipStatus("n-2", 9, stampMicros, 0, 3, 0, 0, List.of());
  }

  private static MembershipStatus statusOfYoungProcess(long stampMicros) {
    return new MembershipStatus("n-1", SECOND_PROCESS, stampMicros, SECOND, 3, 0, 0, List.of());
  }

  /** The last stamp of the leader that a delegate has received. */
  private static StampEcho echo(long micros) {
    return new StampEcho("n-0", 1, micros);
  }

  private boolean grant(long incarnation, long untilMicros) {
    return tracker.recordGrant(new StampEcho("n-1", incarnation, 0), untilMicros);
  }

  private void receiveOneOfTwoRenewalsMessages() {
    tracker.recordRenewalsMessage(
        new DelegatedRenewals("n-1", FIRST_PROCESS, 5, List.of(new LeaseRenewal("m-1", 0))));
  }

  @Test
  void leaseExpiresAfterItsLengthWithoutGrants() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertFalse(tracker.leaseExpired(0, LEASE));
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
  }

  @Test
  void leaseMayLastUntilTheGrantOfASilentDelegateEnds() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    assertFalse(tracker.leaseExpired(0, LEASE + 1));
    assertFalse(tracker.leaseExpired(0, 25 * SECOND));
    assertTrue(tracker.leaseExpired(0, 25 * SECOND + 1));
  }

  /**
   * A delegate does not answer for a while after it has received the leader's status, so its own
   * status covers that time too.
   */
  @Test
  void statusOfADelegateEndsTheWaitForItsGrant() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(LEASE - 2 * SECOND), LEASE - SECOND);
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(LEASE), LEASE + 1);
    assertFalse(tracker.leaseExpired(3 * SECOND, 13 * SECOND + 1));
  }

  /**
   * An unreported answer of one delegate may extend a lease, and another delegate may then answer
   * the worker within the extension. Judging each delegate separately misses this; the exploration
   * in {@link DelegationModelTest} revealed it.
   */
  @Test
  void answersOfAllDelegatesMustBeKnownUpToTheLatestPossibleEnd() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 8 * SECOND));
    tracker.recordStatus(statusOfOther(5), echo(8 * SECOND), 8 * SECOND);
    assertTrue(tracker.recordGrant(new StampEcho("n-2", 9, 0), 15 * SECOND));
    assertFalse(
        tracker.leaseExpired(0, 18 * SECOND + 1), "the answers of n-2 are known only up to 10.5 s");
    assertTrue(tracker.leaseExpired(0, 25 * SECOND + 1));
    tracker.recordStatus(statusOfOther(6), echo(18 * SECOND), 18 * SECOND);
    assertTrue(tracker.leaseExpired(0, 18 * SECOND + 1));
  }

  @Test
  void statusProvesNothingIfARenewalsMessageWasLost() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    receiveOneOfTwoRenewalsMessages();
    tracker.recordStatus(status(FIRST_PROCESS, 2), echo(LEASE), LEASE);
    assertFalse(tracker.leaseExpired(0, LEASE + 1));
    receiveOneOfTwoRenewalsMessages();
    tracker.recordStatus(status(FIRST_PROCESS, 2), echo(LEASE), LEASE);
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
  }

  @Test
  void refusesGrantToAnUnknownProcess() {
    assertFalse(grant(FIRST_PROCESS, 30 * SECOND), "no status of the controller was received");
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    assertFalse(grant(SECOND_PROCESS, 31 * SECOND), "the status came from another process");
  }

  /**
   * A process that has received a message sent after its predecessor's first status proves that the
   * predecessor has ended. Without that proof it may be the earlier of the two.
   */
  @Test
  void restartEndsTheGrantWhenTheProcessIsProvedToBeLater() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(SECOND - 1), 2 * SECOND);
    assertFalse(tracker.leaseExpired(0, 13 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(3 * SECOND), 4 * SECOND);
    assertFalse(tracker.leaseExpired(0, 14 * SECOND));
    assertTrue(tracker.leaseExpired(0, 14 * SECOND + 1));
  }

  /**
   * Such a status neither restores the grant of the earlier process nor counts as one of the later
   * process.
   */
  @Test
  void ignoresLateStatusOfAnEarlierProcess() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(3 * SECOND), 4 * SECOND);
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(2 * SECOND), 5 * SECOND);
    assertFalse(grant(FIRST_PROCESS, 31 * SECOND));
    assertTrue(tracker.leaseExpired(0, 14 * SECOND + 1));
  }

  /**
   * The process restarted before it could have answered a worker, so the restart does not extend
   * the wait.
   */
  @Test
  void restartSoonAfterTheLastStatusDoesNotExtendTheWait() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(8 * SECOND), 8 * SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(statusOfYoungProcess(5), echo(11 * SECOND), 11 * SECOND);
    assertTrue(grant(SECOND_PROCESS, 40 * SECOND));
    tracker.recordStatus(statusOfYoungProcess(6), echo(11 * SECOND), 11 * SECOND);
    assertTrue(tracker.leaseExpired(0, 11 * SECOND));
  }
}
