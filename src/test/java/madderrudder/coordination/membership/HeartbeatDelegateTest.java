package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.ManualClock;
import org.junit.jupiter.api.Test;

/**
 * Guards against a delegate that answers heartbeats after its grant has ended or while the leader
 * is reachable, and against answers that it does not report.
 */
class HeartbeatDelegateTest {
  private static final long SECOND = 1_000_000;
  private static final long LEASE = 10 * SECOND;
  private static final long INCARNATION = 7;
  private static final long OTHER_INCARNATION = 8;
  private static final SafetyBounds SAFETY = new SafetyBounds(LEASE, 20 * SECOND);

  private final ManualClock clock = new ManualClock(100 * SECOND);
  private final HeartbeatDelegate delegate =
      new HeartbeatDelegate(clock, SAFETY, "n-1", INCARNATION);

  /** Returns a leader's status with a grant to the process that sent the stamp. */
  private static MembershipStatus grant(
      long term, long grantMicros, long incarnation, long stampMicros) {
    List<StampEcho> echoes = List.of(new StampEcho("n-1", incarnation, stampMicros));
    return new MembershipStatus("n-0", 1, 55, 0, term, grantMicros, 0, echoes);
  }

  private void passLeaderSilence() {
    clock.advance(SAFETY.leaderSilenceMicros() + 1);
  }

  private static Heartbeat heartbeat(String machine, long sequence) {
    return new Heartbeat(machine, "", "box", "east", false, 1, sequence, 3, -1, List.of());
  }

  private void answerHeartbeatsOf(int machines) {
    for (int i = 0; i < machines; i++) {
      delegate.tryRecordAnswer(heartbeat(String.format("m-%06d", i), 4));
    }
  }

  private List<String> reportedRenewals() {
    List<String> reported = new ArrayList<>();
    for (PeerMessage message : delegate.statusMessages(3, 0, List.of())) {
      if (message instanceof DelegatedRenewals renewals) {
        renewals
            .renewals()
            .forEach(renewal -> reported.add(renewal.machine() + " " + renewal.ageMillis()));
      }
    }
    return reported;
  }

  @Test
  void answersOnlyAfterTheLeaderIsSilent() {
    delegate.recordPeerStatus(grant(3, 5 * SECOND, INCARNATION, 100 * SECOND), 3);
    assertFalse(delegate.mayAnswer(3), "the leader has just sent a status");
    passLeaderSilence();
    assertTrue(delegate.mayAnswer(3));
  }

  @Test
  void doesNotAnswerWhenAHigherTermIsKnown() {
    delegate.recordPeerStatus(grant(3, 5 * SECOND, INCARNATION, 100 * SECOND), 3);
    passLeaderSilence();
    assertTrue(delegate.mayAnswer(3));
    assertFalse(delegate.mayAnswer(4));
  }

  @Test
  void grantIsShortenedByTheClockDrift() {
    delegate.recordPeerStatus(grant(3, 5 * SECOND, INCARNATION, 100 * SECOND), 3);
    clock.set(100 * SECOND + 4_990_000);
    assertFalse(delegate.mayAnswer(3), "the grant is not shortened by the clock drift");
  }

  /**
   * A grant counts from when the echoed stamp was sent, so a grant that is delayed for minutes has
   * already ended.
   */
  @Test
  void grantCountsFromTheEchoedStamp() {
    delegate.recordPeerStatus(grant(3, 5 * SECOND, INCARNATION, 100 * SECOND), 3);
    clock.set(200 * SECOND);
    delegate.recordPeerStatus(grant(3, 5 * SECOND, INCARNATION, 104 * SECOND), 3);
    passLeaderSilence();
    assertFalse(delegate.mayAnswer(3));
  }

  @Test
  void ignoresGrantsToOtherProcessesAndOfEarlierTerms() {
    delegate.recordPeerStatus(grant(3, 5 * SECOND, OTHER_INCARNATION, 100 * SECOND), 3);
    delegate.recordPeerStatus(grant(2, 5 * SECOND, INCARNATION, 100 * SECOND), 3);
    delegate.recordPeerStatus(grant(3, 0, INCARNATION, 100 * SECOND), 3);
    passLeaderSilence();
    assertFalse(delegate.mayAnswer(2) || delegate.mayAnswer(3));
  }

  @Test
  void grantOfALaterTermMayEndBeforeThatOfAnEarlierTerm() {
    passLeaderSilence();
    delegate.recordPeerStatus(grant(3, 50 * SECOND, INCARNATION, 100 * SECOND), 3);
    delegate.recordPeerStatus(grant(4, SECOND, INCARNATION, 102 * SECOND), 4);
    passLeaderSilence();
    assertFalse(delegate.mayAnswer(4));
  }

  @Test
  void noRenewalIsSafeWithoutAGrant() {
    assertTrue(delegate.renewalSafeUntilMicros() < 0);
  }

  /**
   * A leader that has not read the store yet uses the latest end of any grant, including a grant of
   * an earlier term or one that it has issued.
   */
  @Test
  void renewalsAreSafeUntilTheLatestGrantEnds() {
    delegate.recordPeerStatus(grant(3, 20 * SECOND, INCARNATION, 100 * SECOND), 3);
    delegate.recordPeerStatus(grant(4, SECOND, INCARNATION, 102 * SECOND), 4);
    delegate.recordPeerStatus(grant(5, 0, INCARNATION, 140 * SECOND), 5);
    delegate.recordPeerStatus(grant(5, 50 * SECOND, OTHER_INCARNATION, 140 * SECOND), 5);
    assertEquals(
        100 * SECOND + SafetyBounds.shortenByClockDrift(20 * SECOND),
        delegate.renewalSafeUntilMicros());
    delegate.extendRenewalSafety(125 * SECOND);
    delegate.extendRenewalSafety(110 * SECOND);
    assertEquals(125 * SECOND, delegate.renewalSafeUntilMicros());
  }

  @Test
  void doesNotAnswerDuplicateOrEarlierHeartbeats() {
    answerHeartbeatsOf(3);
    clock.advance(SECOND);
    assertFalse(delegate.tryRecordAnswer(heartbeat("m-000001", 4)), "a duplicate was answered");
    assertFalse(
        delegate.tryRecordAnswer(heartbeat("m-000002", 3)), "an earlier heartbeat was answered");
    assertTrue(delegate.tryRecordAnswer(heartbeat("m-000000", 5)));
  }

  @Test
  void reportsEveryMachineAnsweredWithinALease() {
    answerHeartbeatsOf(9_000);
    clock.advance(SECOND);
    assertFalse(
        delegate.tryRecordAnswer(heartbeat("m-000001", 4))
            || delegate.tryRecordAnswer(heartbeat("m-000002", 3)),
        "a duplicate was answered");
    assertTrue(delegate.tryRecordAnswer(heartbeat("m-000000", 5)));
    List<String> reported = reportedRenewals();
    assertEquals(9_000, reported.size());
    assertTrue(reported.contains("m-000001 1000") && reported.contains("m-000000 0"));
    clock.advance(LEASE + 2 * SECOND);
    assertEquals(1, delegate.statusMessages(3, 0, List.of()).size() - 1);
  }

  @Test
  void splitsRenewalsIntoMessagesWithinTheSizeLimit() {
    answerHeartbeatsOf(9_000);
    List<PeerMessage> messages = delegate.statusMessages(3, 0, List.of());
    for (PeerMessage message : messages) {
      assertTrue(PeerMessageCodec.encode(message).remaining() < PeerMessageCodec.MAX_BYTES);
    }
    MembershipStatus last = (MembershipStatus) messages.get(messages.size() - 1);
    assertEquals(messages.size() - 1, last.renewalMessageCount());
  }
}
