package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.LogReference;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.LogSegment.EndedAttempt;

/** A segment of the log, committed or being built, and the objects that its entries stand for. */
final class IndexedSegment implements LogReference {
  final int slot;
  final long number;
  final List<Machine> machines = new ArrayList<>();

  /**
   * Those of {@link #machines} that the segment records as being returned; until it is committed.
   */
  final List<Machine> retiring = new ArrayList<>();

  /** Ids of machines that no longer exist; until the segment is committed. */
  final List<String> removedMachines = new ArrayList<>();

  /** Attempts that have ended; until the segment is committed. */
  final List<EndedAttempt> ended = new ArrayList<>();

  final List<Assignment> placed = new ArrayList<>();
  final List<MachineImage> images = new ArrayList<>();

  /** The segment that this one overwrites; null if none, and once this one is committed. */
  private IndexedSegment replaced;

  /**
   * Creates a segment without entries.
   *
   * @param replaced the segment whose slot it overwrites, or null
   */
  IndexedSegment(int slot, long number, IndexedSegment replaced) {
    this.slot = slot;
    this.number = number;
    this.replaced = replaced;
  }

  IndexedSegment replaced() {
    return replaced;
  }

  /** The entries that may still be live: removals and ends matter to earlier segments only. */
  int size() {
    return machines.size() + placed.size() + images.size();
  }

  /** Whether the machine's entry was carried over from the segment that this one replaces. */
  boolean carried(Machine machine) {
    return replaced != null && machine.logReference == replaced;
  }

  /** Forgets what is needed only until the segment is committed. */
  void committed() {
    replaced = null;
    removedMachines.clear();
    ended.clear();
    retiring.clear();
  }
}
