package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.List;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.LogReference;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.LogSegment.EndedAttempt;

/** A segment of the log, committed or not, with the in-memory objects that its entries describe. */
final class IndexedSegment implements LogReference {
  final int slot;
  final long sequenceNumber;
  final List<Machine> machines = new ArrayList<>();

  /**
   * The machines among {@link #machines} that the segment records as being returned to the cloud;
   * cleared once the segment is committed.
   */
  final List<Machine> retiringMachines = new ArrayList<>();

  /** Ids of machines that no longer exist; cleared once the segment is committed. */
  final List<String> removedMachineIds = new ArrayList<>();

  /** Attempts that have ended; cleared once the segment is committed. */
  final List<EndedAttempt> endedAttempts = new ArrayList<>();

  final List<Assignment> assignments = new ArrayList<>();
  final List<MachineImage> images = new ArrayList<>();

  /** The segment that this one overwrites; null if there is none or this segment is committed. */
  private IndexedSegment replaced;

  /**
   * Creates a segment without entries.
   *
   * @param slot the number of the store key that holds the segment; slots are reused
   * @param sequenceNumber the number of the segment in the order of writing
   * @param replaced the segment that is in the slot and gets overwritten, or null if there is none
   */
  IndexedSegment(int slot, long sequenceNumber, IndexedSegment replaced) {
    this.slot = slot;
    this.sequenceNumber = sequenceNumber;
    this.replaced = replaced;
  }

  /** Returns the segment that this one overwrites; null if none or this segment is committed. */
  IndexedSegment replaced() {
    return replaced;
  }

  /**
   * Returns the number of entries that may be live. Removed machines and ended attempts do not
   * count: they only cancel entries of earlier segments.
   */
  int entryCount() {
    return machines.size() + assignments.size() + images.size();
  }

  /** Whether the machine's entry was copied from the segment that this one replaces. */
  boolean isCarriedOver(Machine machine) {
    return replaced != null && machine.logReference == replaced;
  }

  /** Drops the data that is needed only until the segment is committed. */
  void markCommitted() {
    replaced = null;
    removedMachineIds.clear();
    endedAttempts.clear();
    retiringMachines.clear();
  }
}
