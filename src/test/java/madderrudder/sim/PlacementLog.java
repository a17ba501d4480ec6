package madderrudder.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogState;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.TaskId;

/**
 * What the controllers' log in the store says of placements, read as a new leader would read it. A
 * task on two machines at once, or placed while another worker holds it, is a violation: the next
 * leader could start it twice.
 */
final class PlacementLog {
  private final List<String> violations;
  private final Map<String, LogSegment> segments = new HashMap<>();
  private final Map<TaskId, String> placements = new HashMap<>();

  /**
   * Which machine's worker holds a task, or null: while one does, it may be placed nowhere else.
   */
  Function<TaskId, String> holderOf = task -> null;

  PlacementLog(List<String> violations) {
    this.violations = violations;
  }

  /** Reads the segments among the writes of a transaction. */
  void applyWrites(List<JsonFields> writes) throws MalformedMessageException {
    boolean segmentWritten = false;
    for (JsonFields write : writes) {
      String key = write.text("write", "");
      if (key.startsWith("s/")) {
        segments.put(key, LogSegment.read(write.object("data")));
        segmentWritten = true;
      }
    }
    if (segmentWritten) {
      replay();
    }
  }

  private void replay() {
    Map<TaskId, String> previous = Map.copyOf(placements);
    placements.clear();
    for (LogSegment.Placement entry : LogState.of(segments.values()).placed()) {
      String otherMachine = placements.put(entry.task(), entry.machine());
      if (otherMachine != null) {
        violations.add(
            entry.task() + " is named on " + otherMachine + " and on " + entry.machine());
      }
      String holder =
          entry.machine().equals(previous.get(entry.task())) ? null : holderOf.apply(entry.task());
      if (holder != null && !holder.equals(entry.machine())) {
        violations.add(
            entry.task() + " is placed on " + entry.machine() + " while " + holder + " has it");
      }
    }
  }

  /** The tasks that the log places somewhere. */
  Set<TaskId> placedTasks() {
    return placements.keySet();
  }

  /** The machine on which the log places the task, or null. */
  String machineOf(TaskId task) {
    return placements.get(task);
  }
}
