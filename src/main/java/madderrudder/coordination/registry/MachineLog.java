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
 * Stores machines and placements in a {@link SegmentedLog}. A transaction carries one segment for
 * all that was placed since the last one, so a start costs a fraction of a write: with one key a
 * machine each start cost a write, and 1,400 machines start three times as many tasks a second as
 * their store accepts changes.
 *
 * <p>Confined to the event loop thread.
 */
final class MachineLog {
  private static final int MAX_SEGMENT_BYTES = 15 * 1024;

  private final LeaderTerm term;
  private final Consumer<Machine> onDurable;
  private final SegmentedLog log;
  private final PendingEntries pending;
  private final PendingChange change = new LogChange();

  /**
   * Creates an empty log.
   *
   * @param onDurable called for each machine of which a retirement or a placement became durable
   */
  MachineLog(LeaderTerm term, Consumer<Machine> onDurable) {
    this.term = term;
    this.onDurable = onDurable;
    int segmentBytes = Math.min(MAX_SEGMENT_BYTES, term.deployment.state().valueBytes());
    log = new SegmentedLog(term.cluster, segmentBytes);
    pending = log.pending();
  }

  /** Takes over a stored segment; see {@link SegmentedLog#load}. */
  void load(int slot, LogSegment stored) {
    log.load(slot, stored);
  }

  /** Writes the machine's record, new or changed. */
  void machineChanged(Machine machine) {
    pending.machines.add(machine);
    term.commits.add(change, Urgency.SOON);
  }

  /** Writes that the machine no longer exists. */
  void machineRemoved(Machine machine) {
    pending.machines.remove(machine);
    pending.removedMachines.add(machine.id);
    term.commits.add(change, Urgency.SOON);
  }

  /** Writes that the task may be on its machine; it may be started once that is durable. */
  void placed(Assignment assignment) {
    pending.placed.add(assignment);
    term.commits.add(change, Urgency.FIRST);
  }

  /**
   * Writes that the attempt is no longer on its machine. Nobody waits for this: what is placed
   * later carries it along.
   */
  void ended(Assignment assignment) {
    if (pending.addEnded(assignment)) {
      term.commits.add(change, Urgency.LATER);
    }
  }

  /**
   * Writes that the machine has cached an image.
   *
   * @param gb the image's size in gigabytes
   */
  void imageCached(Machine machine, String image, double gb) {
    pending.images.add(new MachineImage(machine, image, gb));
    term.commits.add(change, Urgency.LATER);
  }

  private void committed() {
    Set<Machine> changed = new LinkedHashSet<>();
    log.commit(segment -> markDurable(segment, changed));
    if (!pending.isEmpty()) {
      term.commits.add(change, pending.urgency());
    }
    changed.forEach(onDurable);
  }

  private void markDurable(IndexedSegment segment, Set<Machine> changed) {
    for (Machine machine : segment.retiring) {
      machine.retiringDurable = true;
      changed.add(machine);
    }
    for (Assignment assignment : segment.placed) {
      if (!assignment.durable) {
        assignment.durable = true;
        assignment.durableMicros = term.scheduler.nowMicros();
        term.metrics.record(Timing.RECORDING, assignment.durableMicros - assignment.placedMicros);
        changed.add(assignment.machine);
      }
    }
  }

  /** Everything pending, rendered when its transaction is built. */
  private final class LogChange implements PendingChange {
    @Override
    public String name() {
      return Keys.LOG_SEGMENTS;
    }

    /** Called again only if the previous transaction was not committed. */
    @Override
    public List<Write> writes() {
      log.rollBack();
      return log.build();
    }

    @Override
    public void committed() {
      MachineLog.this.committed();
    }
  }
}
