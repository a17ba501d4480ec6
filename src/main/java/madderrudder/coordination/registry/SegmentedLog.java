package madderrudder.coordination.registry;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Machine;
import madderrudder.coordination.state.TaskAttempt;
import madderrudder.persistence.LogSegment;
import madderrudder.protocol.StoreCodec.Write;

/**
 * A log of machines and placements whose segments are reused in turn. Pending entries are appended
 * in new segments; the oldest segment is overwritten once the log is larger than its live entries
 * need, and its entries that are still live are carried over into the segment that replaces it
 * (compaction).
 *
 * <p>A build is either committed or rolled back before the next one. An ended attempt is written
 * before, or together with, whatever is placed later, so the segments together never name a task
 * twice. Pure bookkeeping, without access to the store; confined to the event loop thread.
 */
final class SegmentedLog {
  /** More than one scheduling round places. Three of the largest fit in a transaction. */
  private static final int MAX_SEGMENTS_PER_BUILD = 3;

  /**
   * The log may grow to this many times its live entries, plus a little, before it is compacted: a
   * lower limit would copy many entries at each build.
   */
  private static final int GROWTH_FACTOR = 2;

  private static final int GROWTH_ENTRIES = 200;

  private final Cluster cluster;
  private final int segmentBytes;
  private final PendingEntries pending = new PendingEntries();

  /** The committed segments, oldest first, without those that the build in progress replaces. */
  private final Deque<IndexedSegment> segments = new ArrayDeque<>();

  /** The segments of the build that is neither committed nor rolled back. */
  private final List<IndexedSegment> building = new ArrayList<>();

  /** The latest committed segment that names the image. */
  private final Map<MachineImage, IndexedSegment> imageSegments = new HashMap<>();

  private final Deque<Integer> freeSlots = new ArrayDeque<>();
  private int slots;
  private int entries;
  private long lastNumber;

  SegmentedLog(Cluster cluster, int segmentBytes) {
    this.cluster = cluster;
    this.segmentBytes = segmentBytes;
  }

  /** The entries that no build contains; callers add to them. */
  PendingEntries pending() {
    return pending;
  }

  /**
   * Takes over a segment of an earlier leader, whose machines and assignments are in the cluster
   * state already. Must be called in the order of the segments' numbers.
   */
  void load(int slot, LogSegment stored) {
    IndexedSegment segment = new IndexedSegment(slot, stored.number(), null);
    stored.machines().forEach(entry -> loadMachine(segment, entry));
    stored.placed().forEach(entry -> loadPlacement(segment, entry));
    stored.images().forEach(entry -> loadImage(segment, entry));
    segments.addLast(segment);
    entries += segment.size();
    lastNumber = Math.max(lastNumber, stored.number());
    slots = Math.max(slots, slot + 1);
  }

  private void loadMachine(IndexedSegment segment, LogSegment.MachineEntry entry) {
    Machine machine = cluster.machines.get(entry.id());
    if (machine != null) {
      segment.machines.add(machine);
      machine.logReference = segment;
    }
  }

  private void loadPlacement(IndexedSegment segment, LogSegment.Placement entry) {
    Machine machine = cluster.machines.get(entry.machine());
    if (machine == null) {
      return;
    }
    Assignment assignment = machine.assignments.get(new TaskAttempt(entry.task(), entry.attempt()));
    if (assignment != null) {
      segment.placed.add(assignment);
      assignment.logReference = segment;
    }
  }

  private void loadImage(IndexedSegment segment, LogSegment.CachedImage entry) {
    Machine machine = cluster.machines.get(entry.machine());
    if (machine != null) {
      MachineImage image = new MachineImage(machine, entry.name(), entry.gb());
      segment.images.add(image);
      imageSegments.put(image, segment);
    }
  }

  /**
   * Moves pending entries into new segments, replacing the oldest ones while the log is too large.
   * The build before this one must have been committed or rolled back.
   *
   * @return one write for each segment; empty if nothing is pending
   */
  List<Write> build() {
    List<Write> writes = new ArrayList<>();
    int maxEntries = GROWTH_FACTOR * liveEntries() + GROWTH_ENTRIES;
    while (!pending.isEmpty() && building.size() < MAX_SEGMENTS_PER_BUILD) {
      SegmentWriter writer = entries > maxEntries ? replaceOldest() : null;
      if (writer == null) {
        writer = openSegment();
      }
      writer.append(pending);
      building.add(writer.segment());
      writes.add(writer.write());
    }
    return writes;
  }

  /**
   * A segment in the oldest one's slot, with its live entries; null if there is none or no room.
   */
  private SegmentWriter replaceOldest() {
    IndexedSegment oldest = segments.peekFirst();
    if (oldest == null) {
      return null;
    }
    IndexedSegment segment = new IndexedSegment(oldest.slot, ++lastNumber, oldest);
    SegmentWriter writer = new SegmentWriter(segment, segmentBytes);
    if (!carryOver(oldest, writer)) {
      return null;
    }
    segments.removeFirst();
    entries -= oldest.size();
    return writer;
  }

  private SegmentWriter openSegment() {
    int slot = freeSlots.isEmpty() ? slots++ : freeSlots.pop();
    return new SegmentWriter(new IndexedSegment(slot, ++lastNumber, null), segmentBytes);
  }

  /** Copies the entries that are live and in no later segment; false if they do not fit. */
  private boolean carryOver(IndexedSegment oldest, SegmentWriter writer) {
    for (Machine machine : oldest.machines) {
      if (machine.logReference == oldest && exists(machine) && !writer.add(machine)) {
        return false;
      }
    }
    for (Assignment assignment : oldest.placed) {
      if (assignment.logReference == oldest && isHeld(assignment) && !writer.add(assignment)) {
        return false;
      }
    }
    for (MachineImage image : oldest.images) {
      if (imageSegments.get(image) == oldest && isCached(image) && !writer.add(image)) {
        return false;
      }
    }
    return true;
  }

  private boolean exists(Machine machine) {
    return cluster.machines.get(machine.id) == machine;
  }

  private static boolean isHeld(Assignment assignment) {
    return assignment.machine.assignments.get(assignment.key()) == assignment;
  }

  private boolean isCached(MachineImage image) {
    return exists(image.machine()) && image.machine().hasImage(image.name());
  }

  private int liveEntries() {
    int live = cluster.machines.size();
    for (Machine machine : cluster.machines.values()) {
      live += machine.assignments.size() + machine.imageCount();
    }
    return live;
  }

  /**
   * Undoes the last build, whose writes were not committed: the replaced segments are current
   * again, and what was pending, and is still true, is pending again.
   */
  void rollBack() {
    for (int i = building.size() - 1; i >= 0; i--) {
      IndexedSegment segment = building.get(i);
      IndexedSegment replaced = segment.replaced();
      if (replaced == null) {
        freeSlots.push(segment.slot);
      } else {
        segments.addFirst(replaced);
        entries += replaced.size();
      }
      returnToPending(segment);
    }
    building.clear();
  }

  private void returnToPending(IndexedSegment segment) {
    for (Machine machine : segment.machines) {
      if (exists(machine) && !segment.carried(machine)) {
        pending.machines.add(machine);
      }
    }
    pending.removedMachines.addAll(segment.removedMachines);
    pending.ended.addAll(segment.ended);
    for (Assignment assignment : segment.placed) {
      if (isHeld(assignment) && assignment.logReference == null) {
        pending.placed.add(assignment);
      }
    }
    pending.images.addAll(segment.images);
  }

  /**
   * Accepts the last build, whose writes are durable.
   *
   * @param onCommitted called for each segment of the build, oldest first, while its {@link
   *     IndexedSegment#retiring} is still known
   */
  void commit(Consumer<IndexedSegment> onCommitted) {
    for (IndexedSegment segment : building) {
      segments.addLast(segment);
      entries += segment.size();
      if (segment.replaced() != null) {
        segment.replaced().images.forEach(image -> imageSegments.remove(image, segment.replaced()));
      }
      segment.images.forEach(image -> imageSegments.put(image, segment));
      segment.machines.forEach(machine -> machine.logReference = segment);
      segment.placed.forEach(assignment -> assignment.logReference = segment);
      onCommitted.accept(segment);
      segment.committed();
    }
    building.clear();
  }
}
