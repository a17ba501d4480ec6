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
 * A segmented, compacted log of machines, assignments and cached images. Each segment is stored
 * under one key, its slot. Pending entries are written in batches of segments. While the log has
 * too many entries for the number of live ones, a new segment overwrites the oldest one and starts
 * with a copy of its live entries (compaction).
 *
 * <p>A batch has to be committed or rolled back before the next one is built. The end of an attempt
 * is written before, or together with, every assignment that is made later, so the segments
 * together never contain a task twice. The log only computes the writes and has no access to the
 * store. Confined to the event loop thread.
 */
final class SegmentedLog {
  /**
   * Three segments hold more assignments than one scheduling round makes, and three segments of the
   * maximum size fit in one transaction.
   */
  private static final int MAX_SEGMENTS_PER_BATCH = 3;

  /**
   * The log is compacted once it has more than this many entries per live entry, plus {@link
   * #EXTRA_ENTRIES}. With a lower limit each batch would copy many entries.
   */
  private static final int MAX_ENTRIES_PER_LIVE_ENTRY = 2;

  private static final int EXTRA_ENTRIES = 200;

  private final Cluster cluster;
  private final int segmentBytes;
  private final PendingEntries pending = new PendingEntries();

  /** The committed segments, oldest first, without those that the uncommitted batch overwrites. */
  private final Deque<IndexedSegment> segments = new ArrayDeque<>();

  /**
   * The segments of the batch that is neither committed nor rolled back; empty if there is none.
   */
  private final List<IndexedSegment> batch = new ArrayList<>();

  /** For each cached image the latest committed segment that contains it. */
  private final Map<MachineImage, IndexedSegment> imageSegments = new HashMap<>();

  private final Deque<Integer> freeSlots = new ArrayDeque<>();
  private int slotCount;
  private int entryCount;
  private long lastSequenceNumber;

  /**
   * Creates a log without segments.
   *
   * @param segmentBytes the maximum size of an encoded segment, in bytes
   */
  SegmentedLog(Cluster cluster, int segmentBytes) {
    this.cluster = cluster;
    this.segmentBytes = segmentBytes;
  }

  /** Returns the entries that no segment contains yet; callers add new entries to them. */
  PendingEntries pending() {
    return pending;
  }

  /**
   * Adds a segment that an earlier leader stored. The machines and assignments that it contains
   * must be in the cluster state already, and segments must be added in the order of their numbers.
   */
  void load(int slot, LogSegment stored) {
    IndexedSegment segment = new IndexedSegment(slot, stored.number(), null);
    stored.machines().forEach(entry -> loadMachine(segment, entry));
    stored.placements().forEach(entry -> loadAssignment(segment, entry));
    stored.images().forEach(entry -> loadImage(segment, entry));
    segments.addLast(segment);
    entryCount += segment.entryCount();
    lastSequenceNumber = Math.max(lastSequenceNumber, stored.number());
    slotCount = Math.max(slotCount, slot + 1);
  }

  private void loadMachine(IndexedSegment segment, LogSegment.MachineEntry entry) {
    Machine machine = cluster.machines.get(entry.id());
    if (machine != null) {
      segment.machines.add(machine);
      machine.logReference = segment;
    }
  }

  private void loadAssignment(IndexedSegment segment, LogSegment.Placement entry) {
    Machine machine = cluster.machines.get(entry.machine());
    if (machine == null) {
      return;
    }
    Assignment assignment = machine.assignments.get(new TaskAttempt(entry.task(), entry.attempt()));
    if (assignment != null) {
      segment.assignments.add(assignment);
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
   * Moves pending entries into a batch of new segments, and overwrites the oldest segments while
   * the log is too large. The previous batch must have been committed or rolled back.
   *
   * @return one write for each segment; empty if no entry is pending
   */
  List<Write> buildBatch() {
    List<Write> writes = new ArrayList<>();
    int maxEntries = MAX_ENTRIES_PER_LIVE_ENTRY * countLiveEntries() + EXTRA_ENTRIES;
    while (!pending.isEmpty() && batch.size() < MAX_SEGMENTS_PER_BATCH) {
      SegmentWriter writer = entryCount > maxEntries ? replaceOldest() : null;
      if (writer == null) {
        writer = startSegment();
      }
      writer.appendPending(pending);
      batch.add(writer.segment());
      writes.add(writer.toWrite());
    }
    return writes;
  }

  /**
   * Starts a segment in the slot of the oldest one, with a copy of its live entries. Returns null
   * if the log has no segment or the live entries do not fit.
   */
  private SegmentWriter replaceOldest() {
    IndexedSegment oldest = segments.peekFirst();
    if (oldest == null) {
      return null;
    }
    IndexedSegment segment = new IndexedSegment(oldest.slot, ++lastSequenceNumber, oldest);
    SegmentWriter writer = new SegmentWriter(segment, segmentBytes);
    if (!copyLiveEntries(oldest, writer)) {
      return null;
    }
    segments.removeFirst();
    entryCount -= oldest.entryCount();
    return writer;
  }

  private SegmentWriter startSegment() {
    int slot = freeSlots.isEmpty() ? slotCount++ : freeSlots.pop();
    return new SegmentWriter(new IndexedSegment(slot, ++lastSequenceNumber, null), segmentBytes);
  }

  /** Copies the entries that are live and in no later segment; returns false if they do not fit. */
  private boolean copyLiveEntries(IndexedSegment oldest, SegmentWriter writer) {
    for (Machine machine : oldest.machines) {
      if (machine.logReference == oldest && exists(machine) && !writer.add(machine)) {
        return false;
      }
    }
    for (Assignment assignment : oldest.assignments) {
      if (assignment.logReference == oldest && isAssigned(assignment) && !writer.add(assignment)) {
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

  private static boolean isAssigned(Assignment assignment) {
    return assignment.machine.assignments.get(assignment.key()) == assignment;
  }

  private boolean isCached(MachineImage image) {
    return exists(image.machine()) && image.machine().hasImage(image.name());
  }

  private int countLiveEntries() {
    int live = cluster.machines.size();
    for (Machine machine : cluster.machines.values()) {
      live += machine.assignments.size() + machine.imageCount();
    }
    return live;
  }

  /**
   * Undoes the last batch, whose writes were not committed: restores the segments that it was to
   * overwrite, and makes its new entries pending again unless they are obsolete by now. Does
   * nothing if there is no uncommitted batch.
   */
  void rollBackBatch() {
    for (int i = batch.size() - 1; i >= 0; i--) {
      IndexedSegment segment = batch.get(i);
      IndexedSegment replaced = segment.replaced();
      if (replaced == null) {
        freeSlots.push(segment.slot);
      } else {
        segments.addFirst(replaced);
        entryCount += replaced.entryCount();
      }
      returnToPending(segment);
    }
    batch.clear();
  }

  private void returnToPending(IndexedSegment segment) {
    for (Machine machine : segment.machines) {
      if (exists(machine) && !segment.isCarriedOver(machine)) {
        pending.machines.add(machine);
      }
    }
    pending.removedMachineIds.addAll(segment.removedMachineIds);
    pending.endedAttempts.addAll(segment.endedAttempts);
    for (Assignment assignment : segment.assignments) {
      if (isAssigned(assignment) && assignment.logReference == null) {
        pending.assignments.add(assignment);
      }
    }
    pending.images.addAll(segment.images);
  }

  /**
   * Makes the segments of the last batch current, after its writes have become durable.
   *
   * @param onCommitted called for each segment of the batch, oldest first, before its {@link
   *     IndexedSegment#retiringMachines} are cleared
   */
  void markBatchCommitted(Consumer<IndexedSegment> onCommitted) {
    for (IndexedSegment segment : batch) {
      segments.addLast(segment);
      entryCount += segment.entryCount();
      if (segment.replaced() != null) {
        segment.replaced().images.forEach(image -> imageSegments.remove(image, segment.replaced()));
      }
      segment.images.forEach(image -> imageSegments.put(image, segment));
      segment.machines.forEach(machine -> machine.logReference = segment);
      segment.assignments.forEach(assignment -> assignment.logReference = segment);
      onCommitted.accept(segment);
      segment.markCommitted();
    }
    batch.clear();
  }
}
