package madderrudder.coordination.registry;

import java.util.LinkedHashSet;
import java.util.Set;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.LogSegment.EndedAttempt;

/** The log entries that no segment contains yet, each kind in insertion order. */
final class PendingEntries {
  final Set<Machine> machines = new LinkedHashSet<>();
  final Set<String> removedMachineIds = new LinkedHashSet<>();
  final Set<EndedAttempt> endedAttempts = new LinkedHashSet<>();
  final Set<Assignment> assignments = new LinkedHashSet<>();
  final Set<MachineImage> images = new LinkedHashSet<>();

  boolean isEmpty() {
    return machines.isEmpty()
        && removedMachineIds.isEmpty()
        && endedAttempts.isEmpty()
        && assignments.isEmpty()
        && images.isEmpty();
  }

  /**
   * Adds the end of an attempt. If its assignment is itself still pending, both are dropped.
   *
   * @return whether the end of the attempt has to be written
   */
  boolean addEndedAttempt(Assignment assignment) {
    if (assignments.remove(assignment)) {
      return false;
    }
    endedAttempts.add(new EndedAttempt(assignment.task, assignment.attempt, assignment.machine.id));
    return true;
  }

  /** Returns the urgency of the most urgent pending entry. */
  Urgency urgency() {
    if (!assignments.isEmpty()) {
      return Urgency.IMMEDIATE;
    }
    return machines.isEmpty() && removedMachineIds.isEmpty() ? Urgency.DEFERRED : Urgency.NORMAL;
  }
}
