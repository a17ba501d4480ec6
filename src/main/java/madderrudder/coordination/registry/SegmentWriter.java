package madderrudder.coordination.registry;

import java.util.Iterator;
import java.util.Set;
import java.util.function.Predicate;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogSegmentBuilder;
import madderrudder.protocol.StoreCodec.Write;

/** Fills one segment: adds each entry both to the encoded form and to the in-memory index. */
final class SegmentWriter {
  /**
   * New entries leave this much room, because compaction copies the entries of the segment's
   * machines, and an entry is longer if its machine is being returned to the cloud by then.
   */
  private static final int RESERVED_BYTES = 512;

  private final IndexedSegment segment;
  private final LogSegmentBuilder builder;

  SegmentWriter(IndexedSegment segment, int maxBytes) {
    this.segment = segment;
    builder = new LogSegmentBuilder(maxBytes);
  }

  /** Returns the segment that is being filled. */
  IndexedSegment segment() {
    return segment;
  }

  /** Adds a machine; returns false, and adds nothing, if its entry does not fit. */
  boolean add(Machine machine) {
    LogSegment.MachineKind kind =
        new LogSegment.MachineKind(machine.type.name(), machine.zone, machine.spot, machine.owned);
    if (!builder.add(
        new LogSegment.MachineEntry(
            machine.id, kind, machine.rentedWallMicros, machine.retiring))) {
      return false;
    }
    segment.machines.add(machine);
    if (machine.retiring) {
      segment.retiringMachines.add(machine);
    }
    return true;
  }

  /** Adds an assignment; returns false, and adds nothing, if its entry does not fit. */
  boolean add(Assignment assignment) {
    LogSegment.Usage usage = new LogSegment.Usage(assignment.team, assignment.resources);
    return builder.add(
            new LogSegment.Placement(
                assignment.task, assignment.attempt, usage, assignment.machine.id))
        && segment.assignments.add(assignment);
  }

  /** Adds a cached image; returns false, and adds nothing, if its entry does not fit. */
  boolean add(MachineImage image) {
    return builder.add(new LogSegment.CachedImage(image.name(), image.gb(), image.machine().id))
        && segment.images.add(image);
  }

  private boolean add(LogSegment.EndedAttempt endedAttempt) {
    return builder.add(endedAttempt) && segment.endedAttempts.add(endedAttempt);
  }

  private boolean addRemovedMachine(String machineId) {
    return builder.addRemovedMachine(machineId) && segment.removedMachineIds.add(machineId);
  }

  /**
   * Moves pending entries into the segment until one does not fit. Machines are written before the
   * assignments on them, and the ends of attempts before the assignments that take their place.
   */
  void appendPending(PendingEntries pending) {
    builder.lowerMaxBytes(RESERVED_BYTES);
    boolean allFit =
        moveEntries(pending.machines, this::add)
            && moveEntries(pending.removedMachineIds, this::addRemovedMachine)
            && moveEntries(pending.endedAttempts, this::add)
            && moveEntries(pending.assignments, this::add);
    if (allFit) {
      moveEntries(pending.images, this::add);
    }
  }

  private static <T> boolean moveEntries(Set<T> entries, Predicate<T> add) {
    for (Iterator<T> iterator = entries.iterator(); iterator.hasNext(); ) {
      if (!add.test(iterator.next())) {
        return false;
      }
      iterator.remove();
    }
    return true;
  }

  /** Returns the write that stores the segment in its slot. */
  Write toWrite() {
    return Write.put(Keys.logSegment(segment.slot), builder.encode(segment.sequenceNumber));
  }
}
