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

/** When a leader that delegates may take a silent worker's lease for expired. */
class DelegationTrackerTest {
  private static final long SECOND = 1_000_000;
  private static final long LEASE = 10 * SECOND;
  private static final long FIRST_PROCESS = 7;
  private static final long SECOND_PROCESS = 8;
  private static final SafetyBounds SAFETY = new SafetyBounds(LEASE, 20 * SECOND);

  private final DelegationTracker tracker = new DelegationTracker(SAFETY, 0);

  private static MembershipStatus status(long incarnation, int renewalsMessages) {
    return new MembershipStatus("n-1", incarnation, 5, 0, 3, 0, renewalsMessages, List.of());
  }

  private static MembershipStatus statusOfOther(long stampMicros) {
    return new MembershipStatus("n-2", 9, stampMicros, 0, 3, 0, 0, List.of());
  }

  private static MembershipStatus statusOfYoungProcess(long stampMicros) {
    return new MembershipStatus("n-1", SECOND_PROCESS, stampMicros, SECOND, 3, 0, 0, List.of());
  }

  /** What a delegate says it has heard of the leader. */
  private static StampEcho echo(long micros) {
    return new StampEcho("n-0", 1, micros);
  }

  private boolean grant(long incarnation, long untilMicros) {
    return tracker.grant(new StampEcho("n-1", incarnation, 0), untilMicros);
  }

  private void oneOfTwoRenewalsMessagesComes() {
    tracker.recordRenewals(
        new DelegatedRenewals("n-1", FIRST_PROCESS, 5, List.of(new LeaseRenewal("m-1", 0))));
  }

  @Test
  void withoutGrantsOnlyTheLeaseIsWaitedFor() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertFalse(tracker.leaseExpired(0, LEASE));
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
  }

  @Test
  void aDelegateThatIsNotHeardCostsItsGrant() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    assertFalse(tracker.leaseExpired(0, LEASE + 1));
    assertFalse(tracker.leaseExpired(0, 25 * SECOND));
    assertTrue(tracker.leaseExpired(0, 25 * SECOND + 1));
  }

  /**
   * Having heard the leader lately, a delegate does not answer for a while: its status covers that
   * while too.
   */
  @Test
  void aDelegateThatIsHeardCostsNoTime() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(LEASE - 2 * SECOND), LEASE - SECOND);
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(LEASE), LEASE + 1);
    assertFalse(tracker.leaseExpired(3 * SECOND, 13 * SECOND + 1));
  }

  /**
   * What one delegate may have answered unheard keeps a worker for longer, and another may have
   * answered it then: found by the model, after each delegate had been judged alone.
   */
  @Test
  void answersOfAllDelegatesMustBeKnownUpToTheLatestPossibleEnd() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 8 * SECOND));
    tracker.recordStatus(statusOfOther(5), echo(8 * SECOND), 8 * SECOND);
    assertTrue(tracker.grant(new StampEcho("n-2", 9, 0), 15 * SECOND));
    assertFalse(
        tracker.leaseExpired(0, 18 * SECOND + 1), "the answers of n-2 are known up to 10.5 s only");
    assertTrue(tracker.leaseExpired(0, 25 * SECOND + 1));
    tracker.recordStatus(statusOfOther(6), echo(18 * SECOND), 18 * SECOND);
    assertTrue(tracker.leaseExpired(0, 18 * SECOND + 1));
  }

  @Test
  void aStatusOfWhichARenewalsMessageWasLostProvesNothing() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), 0);
    assertTrue(grant(FIRST_PROCESS, 15 * SECOND));
    oneOfTwoRenewalsMessagesComes();
    tracker.recordStatus(status(FIRST_PROCESS, 2), echo(LEASE), LEASE);
    assertFalse(tracker.leaseExpired(0, LEASE + 1));
    oneOfTwoRenewalsMessagesComes();
    tracker.recordStatus(status(FIRST_PROCESS, 2), echo(LEASE), LEASE);
    assertTrue(tracker.leaseExpired(0, LEASE + 1));
  }

  @Test
  void aProcessThatIsNotKnownToLiveGetsNoGrant() {
    assertFalse(grant(FIRST_PROCESS, 30 * SECOND), "no process was heard");
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    assertFalse(grant(SECOND_PROCESS, 31 * SECOND), "another process was heard");
  }

  /**
   * A process that has heard later messages than its predecessor's first proves that one ended; one
   * that has not may be the earlier of the two.
   */
  @Test
  void aRestartEndsTheGrantOnceItIsProvedToBeLater() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(SECOND - 1), 2 * SECOND);
    assertFalse(tracker.leaseExpired(0, 13 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(3 * SECOND), 4 * SECOND);
    assertFalse(tracker.leaseExpired(0, 14 * SECOND));
    assertTrue(tracker.leaseExpired(0, 14 * SECOND + 1));
  }

  /** It neither brings the earlier process's grant back nor counts as the later one's. */
  @Test
  void aLateStatusOfAnEarlierProcessIsIgnored() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(0), SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(status(SECOND_PROCESS, 0), echo(3 * SECOND), 4 * SECOND);
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(2 * SECOND), 5 * SECOND);
    assertFalse(grant(FIRST_PROCESS, 31 * SECOND));
    assertTrue(tracker.leaseExpired(0, 14 * SECOND + 1));
  }

  /** Back before it could have answered anybody: its end costs nothing. */
  @Test
  void aRestartSoonAfterTheLastStatusCostsNoTime() {
    tracker.recordStatus(status(FIRST_PROCESS, 0), echo(8 * SECOND), 8 * SECOND);
    assertTrue(grant(FIRST_PROCESS, 30 * SECOND));
    tracker.recordStatus(statusOfYoungProcess(5), echo(11 * SECOND), 11 * SECOND);
    assertTrue(grant(SECOND_PROCESS, 40 * SECOND));
    tracker.recordStatus(statusOfYoungProcess(6), echo(11 * SECOND), 11 * SECOND);
    assertTrue(tracker.leaseExpired(0, 11 * SECOND));
  }
}
