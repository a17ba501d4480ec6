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
 * The placements in the controllers' log, read from the store as a new leader reads them. It is a
 * violation if the log places a task on two machines at once, or on one machine while another
 * worker holds it, since the next leader could then start the task twice.
 */
final class PlacementLog {
  private final List<String> violations;
  private final Map<String, LogSegment> segments = new HashMap<>();
  private final Map<TaskId, String> placements = new HashMap<>();

  /**
   * Returns the machine whose worker holds a task, or null. While a worker holds a task, the log
   * must not place it on another machine.
   */
  Function<TaskId, String> holderOf = task -> null;

  PlacementLog(List<String> violations) {
    this.violations = violations;
  }

  /** Applies the log segments among the writes of a transaction. */
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

  /** Recomputes the placements from all segments, and checks them. */
  private void replay() {
    Map<TaskId, String> previous = Map.copyOf(placements);
    placements.clear();
    for (LogSegment.Placement entry : LogState.of(segments.values()).placements()) {
      String otherMachine = placements.put(entry.task(), entry.machine());
      if (otherMachine != null) {
        violations.add(
            entry.task() + " is placed on " + otherMachine + " and on " + entry.machine());
      }
      String holder =
          entry.machine().equals(previous.get(entry.task())) ? null : holderOf.apply(entry.task());
      if (holder != null && !holder.equals(entry.machine())) {
        violations.add(
            entry.task() + " is placed on " + entry.machine() + " while " + holder + " holds it");
      }
    }
  }

  /** The tasks that the log places on a machine. */
  Set<TaskId> placedTasks() {
    return placements.keySet();
  }

  /** The machine on which the log places the task, or null. */
  String machineOf(TaskId task) {
    return placements.get(task);
  }
}
