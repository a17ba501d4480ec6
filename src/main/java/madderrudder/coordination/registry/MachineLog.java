package madderrudder.coordination.registry;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.StoreCodec.Write;

/**
 * Stores machines and assignments in a {@link SegmentedLog}. All assignments made since the
 * previous transaction are written together as segments, so a task start costs a fraction of a
 * write. With one key per machine each start cost one write, and 1,400 machines start three times
 * as many tasks per second as their store accepts writes.
 *
 * <p>Confined to the event loop thread.
 */
final class MachineLog {
  private static final int MAX_SEGMENT_BYTES = 15 * 1024;

  private final LeaderTerm term;
  private final Consumer<Machine> onDurable;
  private final SegmentedLog log;
  private final PendingEntries pending;
  private final PendingChange logChange = new LogChange();

  /**
   * Creates an empty log.
   *
   * @param onDurable called for each machine when its retirement, or an assignment to it, has
   *     become durable
   */
  MachineLog(LeaderTerm term, Consumer<Machine> onDurable) {
    this.term = term;
    this.onDurable = onDurable;
    int segmentBytes = Math.min(MAX_SEGMENT_BYTES, term.deployment.state().valueBytes());
    log = new SegmentedLog(term.cluster, segmentBytes);
    pending = log.pending();
  }

  /** Adds a segment that an earlier leader stored; see {@link SegmentedLog#load}. */
  void load(int slot, LogSegment stored) {
    log.load(slot, stored);
  }

  /** Queues the record of a new or changed machine for writing. */
  void queueMachine(Machine machine) {
    pending.machines.add(machine);
    term.commitQueue.add(logChange, Urgency.NORMAL);
  }

  /** Queues for writing that a machine no longer exists. */
  void queueMachineRemoval(Machine machine) {
    pending.machines.remove(machine);
    pending.removedMachineIds.add(machine.id);
    term.commitQueue.add(logChange, Urgency.NORMAL);
  }

  /** Queues an assignment for writing. Its task may be started once the assignment is durable. */
  void queueAssignment(Assignment assignment) {
    pending.assignments.add(assignment);
    term.commitQueue.add(logChange, Urgency.IMMEDIATE);
  }

  /**
   * Queues for writing that the assignment's attempt is no longer on its machine. No operation
   * waits for this entry, and every later assignment is written together with it or after it.
   */
  void queueAttemptEnd(Assignment assignment) {
    if (pending.addEndedAttempt(assignment)) {
      term.commitQueue.add(logChange, Urgency.DEFERRED);
    }
  }

  /**
   * Queues for writing that the machine has cached an image.
   *
   * @param gb the image's size in gigabytes
   */
  void queueCachedImage(Machine machine, String image, double gb) {
    pending.images.add(new MachineImage(machine, image, gb));
    term.commitQueue.add(logChange, Urgency.DEFERRED);
  }

  private void handleCommitted() {
    Set<Machine> durableMachines = new LinkedHashSet<>();
    log.markBatchCommitted(segment -> markDurable(segment, durableMachines));
    if (!pending.isEmpty()) {
      term.commitQueue.add(logChange, pending.urgency());
    }
    durableMachines.forEach(onDurable);
  }

  private void markDurable(IndexedSegment segment, Set<Machine> durableMachines) {
    for (Machine machine : segment.retiringMachines) {
      machine.retiringDurable = true;
      durableMachines.add(machine);
    }
    for (Assignment assignment : segment.assignments) {
      if (!assignment.durable) {
        assignment.durable = true;
        assignment.durableMicros = term.scheduler.nowMicros();
        term.metrics.record(Timing.RECORDING, assignment.durableMicros - assignment.placedMicros);
        durableMachines.add(assignment.machine);
      }
    }
  }

  /** Writes the pending entries, as many as fit, as a batch of segments. */
  private final class LogChange implements PendingChange {
    @Override
    public String name() {
      return Keys.LOG_SEGMENTS;
    }

    /**
     * A batch of an earlier call is rolled back first, because its transaction was not committed.
     */
    @Override
    public List<Write> writes() {
      log.rollBackBatch();
      return log.buildBatch();
    }

    @Override
    public void committed() {
      handleCommitted();
    }
  }
}
