package madderrudder.coordination.heartbeat;

import static madderrudder.coordination.heartbeat.MachineFixture.SECOND;
import static madderrudder.coordination.heartbeat.MachineFixture.SEQ;
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

class SentCommandsTest {
  private static final long FIRST_TOKEN = FencingToken.first(TERM);

  private final MachineFixture fixture = new MachineFixture();
  private final Machine machine = fixture.machine;
  private final Assignment assignment = fixture.place(job(false), 0, false);
  private final CommandPlan start =
      new CommandPlan(List.of(), List.of(assignment), List.of(), false);
  private final CommandPlan stop =
      new CommandPlan(List.of(), List.of(), List.of(assignment), false);

  @Test
  void aStartInAnAnswerIsTiedToItsHeartbeat() {
    SentCommands.noteAnswer(machine, start, SEQ, SECOND);
    assertTrue(assignment.startSent);
    assertEquals(SEQ, assignment.startSequence);
    assertEquals(-1, assignment.directToken);
  }

  @Test
  void aRepeatedStartKeepsTheTimeOfTheFirst() {
    SentCommands.noteAnswer(machine, start, SEQ, SECOND);
    SentCommands.noteAnswer(machine, start, SEQ + 1, 2 * SECOND);
    assertEquals(SECOND, assignment.startSentMicros);
    assertEquals(SEQ + 1, assignment.startSequence);
  }

  @Test
  void aDirectStartIsTiedToItsToken() {
    SentCommands.noteDirectStarts(machine, start, FIRST_TOKEN, SECOND);
    assertTrue(assignment.startSent);
    assertEquals(FIRST_TOKEN, assignment.directToken);
    assertEquals(FIRST_TOKEN, machine.directToken);
    assertEquals(-1, assignment.startSequence);
  }

  @Test
  void aStopInAnAnswerKeepsTheTimeOfTheFirst() {
    SentCommands.noteAnswer(machine, stop, SEQ, SECOND);
    SentCommands.noteAnswer(machine, stop, SEQ + 1, 2 * SECOND);
    assertEquals(SECOND, assignment.stopSentMicros);
  }

  @Test
  void aRepeatedDirectStopHasTheTimeOfTheLast() {
    SentCommands.noteDirectStops(stop, SECOND);
    SentCommands.noteDirectStops(stop, 2 * SECOND);
    assertEquals(2 * SECOND, assignment.stopSentMicros);
  }

  @Test
  void aPlanThatRaisesTheTokenRaisesItByOne() {
    CommandPlan raise = new CommandPlan(List.of(), List.of(), List.of(), true);
    SentCommands.noteAnswer(machine, raise, SEQ, SECOND);
    assertEquals(FIRST_TOKEN + 1, machine.issuedToken);
  }

  /** A worker shows a token of an earlier term, of this term below and above the issued one. */
  @ParameterizedTest
  @CsvSource({"-100,5", "3,5", "8,8"})
  void theIssuedTokenNeverFallsWithinATerm(long seenBeyondFirst, long issuedBeyondFirst) {
    machine.issuedToken = FIRST_TOKEN + 5;
    long token = new SentCommands(TERM).issueToken(machine, FIRST_TOKEN + seenBeyondFirst);
    assertEquals(FIRST_TOKEN + issuedBeyondFirst, token);
    assertEquals(token, machine.issuedToken);
  }
}
