package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.LeaseRenewal;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.PeerMessageCodec;
import madderrudder.transport.Scheduler;
import org.junit.jupiter.api.Test;

/**
 * Grants on both sides: when a deputy may answer, and when its leader may take a worker for empty.
 */
class DelegationTest {
  private static final long SECOND = 1_000_000;
  private static final long LEASE = 10 * SECOND;
  private static final long LIFE = 7;

  private static final SafetyBounds SAFETY = new SafetyBounds(LEASE, 20 * SECOND);

  private final DelegationTracker deputies = new DelegationTracker(SAFETY, 0);
  private long nowMicros = 100 * SECOND;
  private final Scheduler clock =
      new Scheduler() {
        @Override
        public long nowMicros() {
          return nowMicros;
        }

        @Override
        public long wallMicros() {
          return nowMicros;
        }

        @Override
        public Timer after(long delayMicros, Runnable action) {
          throw new UnsupportedOperationException();
        }

        @Override
        public void execute(Runnable action) {
          action.run();
        }
      };
  private final HeartbeatDelegate deputy = new HeartbeatDelegate(clock, SAFETY, "n-1", LIFE);

  private static MembershipStatus says(long incarnation, int parts) {
    return new MembershipStatus("n-1", incarnation, 5, 0, 3, 0, parts, List.of());
  }

  private static StampEcho stamp(long micros) {
    return new StampEcho("n-0", 1, micros);
  }

  private MembershipStatus grant(long term, long forMicros, long incarnation, long stampMicros) {
    return new MembershipStatus(
        "n-0",
        1,
        55,
        0,
        term,
        forMicros,
        0,
        List.of(new StampEcho("n-1", incarnation, stampMicros)));
  }

  @Test
  void withoutGrantsALeaseIsAllThatIsWaitedFor() {
    deputies.heard(says(LIFE, 0), stamp(0), 0);
    assertFalse(deputies.dropped(0, LEASE));
    assertTrue(deputies.dropped(0, LEASE + 1));
  }

  /**
   * A deputy that tells of its answers costs nothing beyond its next word; one that can't be heard,
   * its grant.
   */
  @Test
  void aDeputyThatIsHeardCostsNoTime() {
    deputies.heard(says(LIFE, 0), stamp(0), 0);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE, 0), 15 * SECOND));
    assertFalse(deputies.dropped(0, LEASE + 1));
    assertFalse(deputies.dropped(0, 25 * SECOND));
    assertTrue(deputies.dropped(0, 25 * SECOND + 1));
    // Having heard the leader lately, it does not answer for a while: its word reaches that much
    // further.
    deputies.heard(says(LIFE, 0), stamp(LEASE - 2 * SECOND), LEASE - SECOND);
    assertTrue(deputies.dropped(0, LEASE + 1));
    deputies.heard(says(LIFE, 0), stamp(LEASE), LEASE + 1);
    assertFalse(deputies.dropped(3 * SECOND, 13 * SECOND + 1));
  }

  /**
   * What one deputy may have answered unheard keeps a worker for longer, and another may have
   * answered it then: found by the model, after each deputy had been judged alone.
   */
  @Test
  void whatOneMayHaveAnsweredIsWaitedForWithTheOther() {
    deputies.heard(says(LIFE, 0), stamp(0), 0);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE, 0), 8 * SECOND));
    deputies.heard(
        new MembershipStatus("n-2", 9, 5, 0, 3, 0, 0, List.of()), stamp(8 * SECOND), 8 * SECOND);
    assertTrue(deputies.grant(new StampEcho("n-2", 9, 0), 15 * SECOND));
    assertFalse(
        deputies.dropped(0, 18 * SECOND + 1), "n-2 has told of its answers up to 10.5 s only");
    assertTrue(deputies.dropped(0, 25 * SECOND + 1));
    deputies.heard(
        new MembershipStatus("n-2", 9, 6, 0, 3, 0, 0, List.of()), stamp(18 * SECOND), 18 * SECOND);
    assertTrue(deputies.dropped(0, 18 * SECOND + 1));
  }

  /** A frame was lost: what it told of is not known. */
  @Test
  void aWordWithAPartMissingProvesNothing() {
    deputies.heard(says(LIFE, 0), stamp(0), 0);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE, 0), 15 * SECOND));
    deputies.heard(new DelegatedRenewals("n-1", LIFE, 5, List.of(new LeaseRenewal("m-1", 0))));
    deputies.heard(says(LIFE, 2), stamp(LEASE), LEASE);
    assertFalse(deputies.dropped(0, LEASE + 1));
    deputies.heard(new DelegatedRenewals("n-1", LIFE, 5, List.of(new LeaseRenewal("m-1", 0))));
    deputies.heard(says(LIFE, 2), stamp(LEASE), LEASE);
    assertTrue(deputies.dropped(0, LEASE + 1));
  }

  /**
   * A process that has heard later words than its predecessor's first proves that one ended; a late
   * word of one does not.
   */
  @Test
  void aRestartEndsTheGrantAndALateWordOfAnEarlierProcessDoesNot() {
    deputies.heard(says(LIFE, 0), stamp(0), SECOND);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE, 0), 30 * SECOND));
    assertFalse(
        deputies.grant(new StampEcho("n-1", LIFE + 1, 0), 31 * SECOND),
        "no such process is known to live");
    deputies.heard(says(LIFE + 1, 0), stamp(SECOND - 1), 2 * SECOND);
    assertFalse(deputies.dropped(0, 13 * SECOND));
    deputies.heard(says(LIFE + 1, 0), stamp(3 * SECOND), 4 * SECOND);
    assertFalse(deputies.dropped(0, 14 * SECOND));
    assertTrue(deputies.dropped(0, 14 * SECOND + 1));
    // The late word of the first process neither brings its grant back nor counts as the second
    // one's.
    deputies.heard(says(LIFE, 0), stamp(2 * SECOND), 5 * SECOND);
    assertFalse(deputies.grant(new StampEcho("n-1", LIFE, 0), 31 * SECOND));
    assertTrue(deputies.dropped(0, 14 * SECOND + 1));
  }

  /** Back before it could have answered anybody: its end costs nothing. */
  @Test
  void aRestartSoonAfterItsLastWordCostsNoTime() {
    deputies.heard(says(LIFE, 0), stamp(8 * SECOND), 8 * SECOND);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE, 0), 30 * SECOND));
    deputies.heard(
        new MembershipStatus("n-1", LIFE + 1, 5, SECOND, 3, 0, 0, List.of()),
        stamp(11 * SECOND),
        11 * SECOND);
    assertTrue(deputies.grant(new StampEcho("n-1", LIFE + 1, 0), 40 * SECOND));
    deputies.heard(
        new MembershipStatus("n-1", LIFE + 1, 6, SECOND, 3, 0, 0, List.of()),
        stamp(11 * SECOND),
        11 * SECOND);
    assertTrue(deputies.dropped(0, 11 * SECOND));
  }

  /**
   * Counted from the sending of what the grant answers: held on its way for minutes, it is worth
   * nothing.
   */
  @Test
  void aGrantCountsFromBeforeItWasGiven() {
    deputy.take(grant(3, 5 * SECOND, LIFE, 100 * SECOND), 3);
    assertFalse(deputy.mayAnswer(3), "the leader was heard this moment");
    nowMicros += SAFETY.leaderSilenceMicros() + 1;
    assertTrue(deputy.mayAnswer(3));
    assertFalse(deputy.mayAnswer(4), "a higher term is known");
    nowMicros = 100 * SECOND + 4_990_000;
    assertFalse(deputy.mayAnswer(3), "the clocks may differ");
    nowMicros = 200 * SECOND;
    deputy.take(grant(3, 5 * SECOND, LIFE, 104 * SECOND), 3);
    nowMicros += SAFETY.leaderSilenceMicros() + 1;
    assertFalse(deputy.mayAnswer(3));
  }

  @Test
  void grantsOfOtherProcessesAndTermsAreNone() {
    deputy.take(grant(3, 5 * SECOND, LIFE + 1, 100 * SECOND), 3);
    deputy.take(grant(2, 5 * SECOND, LIFE, 100 * SECOND), 3);
    deputy.take(grant(3, 0, LIFE, 100 * SECOND), 3);
    nowMicros += SAFETY.leaderSilenceMicros() + 1;
    assertFalse(deputy.mayAnswer(2) || deputy.mayAnswer(3));
    // A later term's grant may end sooner than the earlier one's.
    deputy.take(grant(3, 50 * SECOND, LIFE, 100 * SECOND), 3);
    deputy.take(grant(4, SECOND, LIFE, 102 * SECOND), 4);
    nowMicros += SAFETY.leaderSilenceMicros() + 1;
    assertFalse(deputy.mayAnswer(4));
  }

  /**
   * What a leader that has not read the store goes by: the latest end of any grant, also of an
   * earlier term, or one of its own.
   */
  @Test
  void answersWithoutCommandsAreHarmlessUntilTheLatestGrantEnds() {
    assertTrue(deputy.harmlessUntilMicros() < 0, "a process without a grant knows nothing");
    deputy.take(grant(3, 20 * SECOND, LIFE, 100 * SECOND), 3);
    deputy.take(grant(4, SECOND, LIFE, 102 * SECOND), 4);
    deputy.take(grant(5, 0, LIFE, 140 * SECOND), 5);
    deputy.take(grant(5, 50 * SECOND, LIFE + 1, 140 * SECOND), 5);
    assertEquals(
        100 * SECOND + SafetyBounds.minusClockDrift(20 * SECOND), deputy.harmlessUntilMicros());
    deputy.harmlessUntil(125 * SECOND);
    deputy.harmlessUntil(110 * SECOND);
    assertEquals(125 * SECOND, deputy.harmlessUntilMicros());
  }

  /**
   * Each has to say it again in answer to what was sent after all had said it: the next process may
   * not know.
   */
  @Test
  void othersStandBackInTwoRounds() {
    TermAcknowledgements stoodBack = new TermAcknowledgements(3, Set.of("n-1", "n-2"));
    MembershipStatus one = says(LIFE, 0);
    MembershipStatus two = new MembershipStatus("n-2", 1, 5, 0, 3, 0, 0, List.of());
    MembershipStatus unknowing = new MembershipStatus("n-1", LIFE + 1, 5, 0, 2, 0, 0, List.of());
    assertFalse(stoodBack.heard(one, stamp(9 * SECOND), 10 * SECOND));
    assertFalse(stoodBack.heard(one, stamp(11 * SECOND), 11 * SECOND), "the other has not said it");
    assertFalse(stoodBack.heard(two, stamp(11 * SECOND), 12 * SECOND));
    assertFalse(
        stoodBack.heard(one, stamp(12 * SECOND), 13 * SECOND), "sent before all had said it");
    assertFalse(stoodBack.heard(one, null, 13 * SECOND));
    assertFalse(stoodBack.heard(two, stamp(13 * SECOND), 14 * SECOND));
    assertFalse(
        stoodBack.heard(unknowing, stamp(13 * SECOND), 14 * SECOND),
        "its next process does not know");
    assertFalse(stoodBack.all());
    assertTrue(stoodBack.heard(one, stamp(14 * SECOND), 15 * SECOND));
    assertTrue(
        stoodBack.all() && !stoodBack.heard(one, stamp(15 * SECOND), 16 * SECOND), "said once");
  }

  private static Heartbeat report(String machine, long seq) {
    return new Heartbeat(machine, "", "box", "east", false, 1, seq, 3, -1, List.of());
  }

  /**
   * Thousands of machines are told of in frames that stay within their bound, and each until its
   * lease is over.
   */
  @Test
  void tellsOfAllThatWasAnsweredWithinALease() {
    for (int i = 0; i < 9_000; i++) {
      deputy.answers(report(String.format("m-%06d", i), 4));
    }
    nowMicros += SECOND;
    assertFalse(
        deputy.answers(report("m-000001", 4)) || deputy.answers(report("m-000002", 3)),
        "a copy was answered");
    assertTrue(deputy.answers(report("m-000000", 5)));
    List<PeerMessage> frames = deputy.frames(3, 0, List.of());
    List<String> told = new ArrayList<>();
    for (PeerMessage frame : frames) {
      assertTrue(PeerMessageCodec.encode(frame).remaining() < PeerMessageCodec.MAX_BYTES);
      if (frame instanceof DelegatedRenewals part) {
        part.answers().forEach(answer -> told.add(answer.machine() + " " + answer.agoMillis()));
      }
    }
    assertEquals(9_000, told.size());
    assertTrue(told.contains("m-000001 1000") && told.contains("m-000000 0"));
    assertEquals(
        frames.size() - 1, ((MembershipStatus) frames.get(frames.size() - 1)).answeredParts());
    nowMicros += LEASE + 2 * SECOND;
    assertEquals(1, deputy.frames(3, 0, List.of()).size() - 1);
  }
}
