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

/** Fills one segment: each entry goes into its encoded form and into its index alike. */
final class SegmentWriter {
  /**
   * Left free by new entries, so that the segment still fits when its machines are written again as
   * being returned.
   */
  private static final int SPARE_BYTES = 512;

  private final IndexedSegment segment;
  private final LogSegmentBuilder encoded;

  SegmentWriter(IndexedSegment segment, int maxBytes) {
    this.segment = segment;
    encoded = new LogSegmentBuilder(maxBytes);
  }

  IndexedSegment segment() {
    return segment;
  }

  /** Adds a machine; false, here and below, if the segment is too full for the entry. */
  boolean add(Machine machine) {
    LogSegment.MachineKind kind =
        new LogSegment.MachineKind(machine.type.name(), machine.zone, machine.spot, machine.owned);
    if (!encoded.add(
        new LogSegment.MachineEntry(
            machine.id, kind, machine.rentedWallMicros, machine.retiring))) {
      return false;
    }
    segment.machines.add(machine);
    if (machine.retiring) {
      segment.retiring.add(machine);
    }
    return true;
  }

  boolean add(Assignment assignment) {
    LogSegment.Usage usage = new LogSegment.Usage(assignment.team, assignment.resources);
    return encoded.add(
            new LogSegment.Placement(
                assignment.task, assignment.attempt, usage, assignment.machine.id))
        && segment.placed.add(assignment);
  }

  boolean add(MachineImage image) {
    return encoded.add(new LogSegment.CachedImage(image.name(), image.gb(), image.machine().id))
        && segment.images.add(image);
  }

  private boolean add(LogSegment.EndedAttempt end) {
    return encoded.add(end) && segment.ended.add(end);
  }

  private boolean addRemoved(String machine) {
    return encoded.addGone(machine) && segment.removedMachines.add(machine);
  }

  /**
   * Moves pending entries into the segment while they fit. A machine is written before what is
   * placed on it, and what has ended before what is placed instead.
   */
  void append(PendingEntries pending) {
    encoded.spare(SPARE_BYTES);
    boolean fits =
        move(pending.machines, this::add)
            && move(pending.removedMachines, this::addRemoved)
            && move(pending.ended, this::add)
            && move(pending.placed, this::add);
    if (fits) {
      move(pending.images, this::add);
    }
  }

  private static <T> boolean move(Set<T> entries, Predicate<T> add) {
    for (Iterator<T> iterator = entries.iterator(); iterator.hasNext(); ) {
      if (!add.test(iterator.next())) {
        return false;
      }
      iterator.remove();
    }
    return true;
  }

  /** The write that stores the segment in its slot. */
  Write write() {
    return Write.put(Keys.logSegment(segment.slot), encoded.render(segment.number));
  }
}
