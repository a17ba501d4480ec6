package madderrudder.coordination.heartbeat;

import static madderrudder.coordination.heartbeat.MachineFixture.SECOND_MICROS;
import static madderrudder.coordination.heartbeat.MachineFixture.SEQUENCE;
import static madderrudder.coordination.heartbeat.MachineFixture.TERM;
import static madderrudder.coordination.heartbeat.MachineFixture.job;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against losing track of commands in flight. A task whose start may still arrive would then
 * be released and run twice, or a worker would receive a lower token than before and reject it.
 */
class SentCommandRecorderTest {
  private static final long FIRST_TOKEN = FencingToken.firstOfTerm(TERM);

  private final MachineFixture fixture = new MachineFixture();
  private final Machine machine = fixture.machine;
  private final Assignment assignment = fixture.place(job(false), 0, false);
  private final CommandPlan startPlan =
      new CommandPlan(List.of(), List.of(assignment), List.of(), false);
  private final CommandPlan stopPlan =
      new CommandPlan(List.of(), List.of(), List.of(assignment), false);

  @Test
  void recordsHeartbeatSequenceOfStartInAnswer() {
    SentCommandRecorder.recordAnswer(machine, startPlan, SEQUENCE, SECOND_MICROS);
    assertTrue(assignment.startSent);
    assertEquals(SEQUENCE, assignment.startSequence);
    assertEquals(-1, assignment.directToken);
  }

  @Test
  void keepsTimeOfFirstStartWhenStartIsRepeated() {
    SentCommandRecorder.recordAnswer(machine, startPlan, SEQUENCE, SECOND_MICROS);
    SentCommandRecorder.recordAnswer(machine, startPlan, SEQUENCE + 1, 2 * SECOND_MICROS);
    assertEquals(SECOND_MICROS, assignment.startSentMicros);
    assertEquals(SEQUENCE + 1, assignment.startSequence);
  }

  @Test
  void recordsTokenOfDirectStart() {
    SentCommandRecorder.recordDirectStarts(machine, startPlan, FIRST_TOKEN, SECOND_MICROS);
    assertTrue(assignment.startSent);
    assertEquals(FIRST_TOKEN, assignment.directToken);
    assertEquals(FIRST_TOKEN, machine.directToken);
    assertEquals(-1, assignment.startSequence);
  }

  @Test
  void keepsTimeOfFirstStopInAnswer() {
    SentCommandRecorder.recordAnswer(machine, stopPlan, SEQUENCE, SECOND_MICROS);
    SentCommandRecorder.recordAnswer(machine, stopPlan, SEQUENCE + 1, 2 * SECOND_MICROS);
    assertEquals(SECOND_MICROS, assignment.stopSentMicros);
  }

  @Test
  void recordsTimeOfLastDirectStop() {
    SentCommandRecorder.recordDirectStops(stopPlan, SECOND_MICROS);
    SentCommandRecorder.recordDirectStops(stopPlan, 2 * SECOND_MICROS);
    assertEquals(2 * SECOND_MICROS, assignment.stopSentMicros);
  }

  @Test
  void raisesTokenByOneIfPlanRequiresIt() {
    CommandPlan raisingPlan = new CommandPlan(List.of(), List.of(), List.of(), true);
    SentCommandRecorder.recordAnswer(machine, raisingPlan, SEQUENCE, SECOND_MICROS);
    assertEquals(FIRST_TOKEN + 1, machine.issuedToken);
  }

  /** Covers worker tokens of an earlier term, and of this term below and above the issued token. */
  @ParameterizedTest
  @CsvSource({"-100,5", "3,5", "8,8"})
  void issuedTokenNeverDecreasesWithinTerm(long seenTokenOffset, long issuedTokenOffset) {
    machine.issuedToken = FIRST_TOKEN + 5;
    long token = new SentCommandRecorder(TERM).issueToken(machine, FIRST_TOKEN + seenTokenOffset);
    assertEquals(FIRST_TOKEN + issuedTokenOffset, token);
    assertEquals(token, machine.issuedToken);
  }
}
