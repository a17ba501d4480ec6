package madderrudder.coordination.registry;

import java.util.LinkedHashSet;
import java.util.Set;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.LogSegment.EndedAttempt;

/** The log entries that no committed segment contains yet, each kind in the order of its adding. */
final class PendingEntries {
  final Set<Machine> machines = new LinkedHashSet<>();
  final Set<String> removedMachines = new LinkedHashSet<>();
  final Set<EndedAttempt> ended = new LinkedHashSet<>();
  final Set<Assignment> placed = new LinkedHashSet<>();
  final Set<MachineImage> images = new LinkedHashSet<>();

  boolean isEmpty() {
    return machines.isEmpty()
        && removedMachines.isEmpty()
        && ended.isEmpty()
        && placed.isEmpty()
        && images.isEmpty();
  }

  /**
   * Adds that an attempt has ended. One that no segment names yet is only taken back.
   *
   * @return whether there is something to write
   */
  boolean addEnded(Assignment assignment) {
    if (placed.remove(assignment)) {
      return false;
    }
    ended.add(new EndedAttempt(assignment.task, assignment.attempt, assignment.machine.id));
    return true;
  }

  /** How soon the most urgent of the entries is to be written. */
  Urgency urgency() {
    if (!placed.isEmpty()) {
      return Urgency.FIRST;
    }
    return machines.isEmpty() && removedMachines.isEmpty() ? Urgency.LATER : Urgency.SOON;
  }
}
