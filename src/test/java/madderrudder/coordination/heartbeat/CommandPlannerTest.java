package madderrudder.coordination.heartbeat;

import static madderrudder.coordination.heartbeat.MachineFixture.ATTEMPT;
import static madderrudder.coordination.heartbeat.MachineFixture.SECOND;
import static madderrudder.coordination.heartbeat.MachineFixture.SEQ;
import static madderrudder.coordination.heartbeat.MachineFixture.SESSION;
import static madderrudder.coordination.heartbeat.MachineFixture.TERM;
import static madderrudder.coordination.heartbeat.MachineFixture.job;
import static madderrudder.coordination.heartbeat.MachineFixture.status;
import static madderrudder.coordination.heartbeat.MachineFixture.task;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.TaskStatus.Phase;
import madderrudder.protocol.WorkerCommand;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class CommandPlannerTest {
  private static final long GANG_PEER_MICROS = 4 * SECOND;
  private static final long FIRST_TOKEN = FencingToken.first(TERM);
  private static final WorkerCommand START = WorkerCommand.start(task(0), ATTEMPT);
  private static final WorkerCommand STOP = WorkerCommand.stop(task(0), ATTEMPT, 0);
  private static final WorkerCommand FORGET = WorkerCommand.reap(task(0), ATTEMPT);

  private final MachineFixture fixture = new MachineFixture();
  private final Machine machine = fixture.machine;

  private static CommandPlanner planner(boolean startDeferred) {
    return new CommandPlanner(new TaskFactsBuilder(TERM, job -> startDeferred), GANG_PEER_MICROS);
  }

  private CommandPlan answer(Heartbeat heartbeat) {
    return planner(false).planAnswer(machine, heartbeat, true);
  }

  private CommandPlan direct(long nowMicros) {
    return planner(false).planDirect(machine, nowMicros, true);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void startsATaskOnlyIfItsRecordIsDurable(boolean durable) {
    Assignment assignment = fixture.place(job(false), 0, false);
    assignment.durable = durable;
    CommandPlan plan = answer(fixture.newest());
    assertEquals(durable ? List.of(START) : List.of(), plan.commands());
    assertEquals(durable ? List.of(assignment) : List.of(), plan.starts());
  }

  @Test
  void startsNothingOnceTheLeaderHoldsNoLease() {
    fixture.place(job(false), 0, false);
    assertEquals(List.of(), planner(false).planAnswer(machine, fixture.newest(), false).commands());
    assertEquals(List.of(), planner(false).planDirect(machine, 0, false).commands());
  }

  @Test
  void startsNothingOnARetiringMachine() {
    fixture.place(job(false), 0, false);
    machine.retiring = true;
    assertEquals(List.of(), answer(fixture.newest()).commands());
  }

  @ParameterizedTest
  @CsvSource({"true,0", "false,1"})
  void startsAnInheritedTaskOnlyIfItsJobIsNotDeferred(boolean deferred, int starts) {
    fixture.place(job(false), 0, true);
    CommandPlan plan = planner(deferred).planAnswer(machine, fixture.newest(), true);
    assertEquals(starts, plan.starts().size());
  }

  @Test
  void sendsAtMost400Commands() {
    Job job = job(false);
    for (int index = 0; index < 401; index++) {
      fixture.place(job, index, false);
    }
    assertEquals(400, answer(fixture.newest()).commands().size());
    assertEquals(400, direct(0).commands().size());
  }

  @ParameterizedTest
  @EnumSource(value = Phase.class, names = "EXITED", mode = EnumSource.Mode.EXCLUDE)
  void stopsATaskThatNoRecordNames(Phase phase) {
    assertEquals(List.of(STOP), answer(fixture.newest(status(0, phase))).commands());
  }

  @Test
  void makesTheWorkerForgetAnExitThatNoRecordNames() {
    assertEquals(List.of(FORGET), answer(fixture.newest(status(0, Phase.EXITED))).commands());
  }

  @Test
  void keepsACompletedTaskOnItsWorkerUntilThatIsDurable() {
    Assignment assignment = fixture.placeReported(job(false), 0);
    assignment.completed = true;
    assignment.evicting = true;
    assertEquals(List.of(), answer(fixture.newest(status(0, Phase.EXITED))).commands());
  }

  @Test
  void leavesARecordedTaskAlone() {
    fixture.placeReported(job(false), 0);
    assertEquals(List.of(), answer(fixture.newest(status(0, Phase.RUNNING))).commands());
  }

  @ParameterizedTest
  @CsvSource({"false,false,0", "true,true,0", "true,false,6000000"})
  void stopsAnEvictedTaskWithTimeForACheckpointThatIsOfUse(
      boolean checkpoints, boolean jobEnded, long graceMicros) {
    Assignment assignment = fixture.placeReported(job(checkpoints), 0);
    assignment.evicting = true;
    assignment.job.ended = jobEnded;
    CommandPlan plan = answer(fixture.newest(status(0, Phase.RUNNING)));
    assertEquals(List.of(WorkerCommand.stop(task(0), ATTEMPT, graceMicros)), plan.commands());
    assertEquals(List.of(assignment), plan.stops());
  }

  @Test
  void answersAnOlderHeartbeatWithStopsOnly() {
    Job job = job(false);
    fixture.placeReported(job, 1).evicting = true;
    fixture.placeReported(job, 2);
    fixture.place(job, 3, false);
    Heartbeat older =
        fixture.heartbeat(
            SESSION,
            SEQ - 1,
            status(0, Phase.RUNNING),
            status(1, Phase.RUNNING),
            status(2, Phase.RUNNING),
            status(4, Phase.EXITED));
    List<WorkerCommand> stops = List.of(STOP, WorkerCommand.stop(task(1), ATTEMPT, 0));
    assertEquals(stops, answer(older).commands());
    assertEquals(stops, planner(false).planStops(machine, older).commands());
  }

  @ParameterizedTest
  @CsvSource({"-1,false", "0,true", "-2,false"})
  void raisesTheTokenBeforeAForgottenExitIfADirectStartCarriedTheIssuedOne(
      long directBeyondIssued, boolean raise) {
    machine.directToken = machine.issuedToken + directBeyondIssued;
    assertEquals(raise, answer(fixture.newest(status(0, Phase.EXITED))).raiseToken());
  }

  @Test
  void raisesTheTokenToSettleADirectStartOfUnknownFate() {
    Assignment assignment = fixture.place(job(false), 0, false);
    assignment.evicting = true;
    assignment.directToken = FIRST_TOKEN;
    machine.directToken = FIRST_TOKEN;
    CommandPlan plan = answer(fixture.newest());
    assertEquals(new CommandPlan(List.of(), List.of(), List.of(), true), plan);
  }

  @Test
  void planningNotesNothingAsSent() {
    Job job = job(false);
    Assignment start = fixture.place(job, 0, false);
    Assignment stop = fixture.placeReported(job, 1);
    stop.evicting = true;
    Heartbeat heartbeat = fixture.newest(status(1, Phase.RUNNING));
    assertEquals(answer(heartbeat), answer(heartbeat));
    assertEquals(direct(0), direct(0));
    assertFalse(start.startSent);
    assertEquals(-1, start.startSequence);
    assertEquals(-1, stop.stopSentMicros);
    assertEquals(FIRST_TOKEN, machine.issuedToken);
  }

  @Test
  void startsDirectlyWhatWasNeverSent() {
    Assignment assignment = fixture.place(job(false), 0, false);
    assertEquals(List.of(START), direct(0).commands());
    assignment.startSent = true;
    assertEquals(List.of(), direct(0).commands());
  }

  @Test
  void startsNothingDirectlyOnceTheTokenCannotRise() {
    fixture.place(job(false), 0, false);
    machine.issuedToken = FencingToken.first(TERM + 1) - 1;
    assertEquals(List.of(), direct(0).commands());
  }

  @ParameterizedTest
  @CsvSource({"-1,true", "4000000,false", "3999999,true"})
  void repeatsADirectStopThatShowsNoEffectForASecond(long sentMicros, boolean sends) {
    Assignment assignment = fixture.placeReported(job(false), 0);
    assignment.evicting = true;
    assignment.stopSentMicros = sentMicros;
    assertEquals(sends ? List.of(STOP) : List.of(), direct(5 * SECOND).commands());
  }

  @Test
  void stopsNothingDirectlyThatHasExitedOrIsNotEvicted() {
    Job job = job(false);
    fixture.placeReported(job, 0);
    Assignment exited = fixture.placeReported(job, 1);
    exited.evicting = true;
    exited.phase = Phase.EXITED;
    assertEquals(List.of(), direct(0).commands());
  }
}
