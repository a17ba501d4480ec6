package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;

/**
 * Guards against a replay of the log that loses placements or keeps those that ended, which makes a
 * new leader run a task twice or never.
 */
class LogStateTest {
  private static final LogSegment.MachineKind KIND =
      new LogSegment.MachineKind("g8", "a", false, true);
  private static final LogSegment.Usage USAGE = new LogSegment.Usage("alto", Resources.of(1, 0, 1));

  private static LogSegment.MachineEntry machine(String id) {
    return new LogSegment.MachineEntry(id, KIND, 5, false);
  }

  private static LogSegment segment(
      long number,
      List<LogSegment.MachineEntry> machines,
      List<String> removedMachines,
      List<LogSegment.Placement> placements,
      List<LogSegment.EndedAttempt> endedAttempts) {
    return new LogSegment(number, machines, removedMachines, placements, endedAttempts, List.of());
  }

  /** The placement on the removed machine m-3 must not survive the replay. */
  @Test
  void segmentsAreReplayedInOrderOfTheirNumbers() {
    TaskId first = new TaskId("req-000001", 0);
    TaskId second = new TaskId("req-000001", 1);
    LogSegment.Placement retried = new LogSegment.Placement(first, 2, USAGE, "m-2");
    LogSegment later =
        segment(
            9,
            List.of(),
            List.of("m-3"),
            List.of(retried),
            List.of(new LogSegment.EndedAttempt(first, 1, "m-1")));
    LogSegment earlier =
        segment(
            4,
            List.of(machine("m-1"), machine("m-2"), machine("m-3")),
            List.of(),
            List.of(
                new LogSegment.Placement(first, 1, USAGE, "m-1"),
                new LogSegment.Placement(second, 3, USAGE, "m-3")),
            List.of());
    LogState state = LogState.of(List.of(later, earlier));
    assertEquals(List.of(retried), List.copyOf(state.placements()));
    assertEquals(
        List.of("m-1", "m-2"), state.machines().stream().map(LogSegment.MachineEntry::id).toList());
  }

  /**
   * While a gang is still being placed, a task of it that is lost is placed again under the same
   * attempt number. If the end on the first machine also removes the second placement, the task
   * runs twice.
   */
  @Test
  void taskPlacedAgainUnderSameAttemptNumberStaysPlaced() {
    TaskId task = new TaskId("req-000001", 0);
    LogSegment.Placement replaced = new LogSegment.Placement(task, 5, USAGE, "m-2");
    LogState state =
        LogState.of(
            List.of(
                segment(
                    1,
                    List.of(machine("m-1"), machine("m-2")),
                    List.of(),
                    List.of(new LogSegment.Placement(task, 5, USAGE, "m-1")),
                    List.of()),
                segment(
                    2,
                    List.of(),
                    List.of(),
                    List.of(replaced),
                    List.of(new LogSegment.EndedAttempt(task, 5, "m-1")))));
    assertEquals(List.of(replaced), List.copyOf(state.placements()));
  }
}
