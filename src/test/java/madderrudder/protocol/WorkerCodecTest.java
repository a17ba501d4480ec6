package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against heartbeats whose fields or names are mapped to wrong values, against stale
 * heartbeats that count as newer, and against changes of the commands on the wire.
 */
class WorkerCodecTest {
  private static final String HEARTBEAT =
      "{'vessel':'m-1','addr':'10.1.0.2:9000','build':'g8',"
          + "'berth':'a','driftwood':true,'watch':2,'knot':88,'helm':41,'recall_s':3.5,'strokes':["
          + "{'stroke':'req-000412/3','launch':2,'trim':'running'},"
          + "{'stroke':'req-000398/0','launch':1,'trim':'ended','wake':'done'}]}";

  private static Heartbeat read(String text) throws MalformedMessageException {
    return WorkerCodec.readHeartbeat(text.replace('\'', '"').getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void readsHeartbeat() throws MalformedMessageException {
    Heartbeat heartbeat = read(HEARTBEAT);
    assertEquals(
        new Heartbeat(
            "m-1",
            "10.1.0.2:9000",
            "g8",
            "a",
            true,
            2,
            88,
            41,
            3_500_000,
            List.of(
                new TaskStatus(new TaskId("req-000412", 3), 2, Phase.RUNNING, null, false),
                new TaskStatus(
                    new TaskId("req-000398", 0), 1, Phase.EXITED, ExitReason.DONE, false))),
        heartbeat);
  }

  @Test
  void heartbeatWithLargerEpochOrSequenceIsNewer() throws MalformedMessageException {
    Heartbeat heartbeat = read(HEARTBEAT);
    assertTrue(heartbeat.isNewerThan(2, 87));
    assertTrue(heartbeat.isNewerThan(1, 99));
    assertTrue(!heartbeat.isNewerThan(2, 88));
  }

  @ParameterizedTest
  @CsvSource({
    "fetching,FETCHING",
    "gathering,WAITING",
    "running,RUNNING",
    "flushing,SAVING",
    "ended,EXITED",
  })
  void readsTaskPhase(String name, Phase phase) throws MalformedMessageException {
    Heartbeat heartbeat = read(HEARTBEAT.replace("running", name));
    assertEquals(phase, heartbeat.tasks().get(0).phase());
  }

  @ParameterizedTest
  @CsvSource({
    "done,DONE",
    "halted,STOPPED",
    "mates_gone,PEERS_GONE",
    "alone,GANG_INCOMPLETE",
    "error,ERROR",
    "no_room,INSUFFICIENT_RESOURCES",
    "busy,OTHER_ATTEMPT",
    "unknown,UNKNOWN",
    "of_a_later_protocol,ERROR",
  })
  void readsExitReason(String name, ExitReason reason) throws MalformedMessageException {
    Heartbeat heartbeat = read(HEARTBEAT.replace("'done'", "'" + name + "'"));
    assertEquals(reason, heartbeat.tasks().get(1).exitReason());
  }

  @Test
  void writesDirectCommands() {
    TaskId task = new TaskId("req-000412", 4);
    byte[] body =
        WorkerCodec.directCommands(
            41,
            2,
            List.of(
                WorkerCommand.start(task, 2),
                WorkerCommand.stop(task, 2, 10_000_000),
                WorkerCommand.reap(task, 2)));
    assertEquals(
        "{'helm':41,'watch':2,'orders':["
            + "{'order':'start','stroke':'req-000412/4','launch':2},"
            + "{'order':'stop','stroke':'req-000412/4','launch':2,'slack_s':10.0},"
            + "{'order':'reap','stroke':'req-000412/4','launch':2}]}",
        new String(body, StandardCharsets.UTF_8).replace('"', '\''));
  }
}
