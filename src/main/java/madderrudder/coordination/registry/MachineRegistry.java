package madderrudder.coordination.registry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Cluster;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.Keys;
import madderrudder.persistence.LogSegment;
import madderrudder.persistence.LogState;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.StoreCodec.KeyValue;
import madderrudder.protocol.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the machines and assignments of the cluster state and queues every change to them for
 * writing to the store. An assignment is released only when its task can no longer be on the
 * machine. Confined to the event loop thread.
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  private final LeaderTerm term;
  private final Set<String> removedMachineIds = new HashSet<>();
  private final Set<Machine> machinesToCommand = new LinkedHashSet<>();
  private Consumer<Machine> durableListener = machine -> {};
  private final MachineLog log;

  /** Creates the registry of a term, without machines. */
  public MachineRegistry(LeaderTerm term) {
    this.term = term;
    log = new MachineLog(term, machine -> durableListener.accept(machine));
  }

  /**
   * Sets the listener that is called with a machine when its retirement, an assignment to it or the
   * progress of a task on it has become durable. Replaces the previous listener.
   */
  public void setDurableListener(Consumer<Machine> listener) {
    durableListener = listener;
  }

  /**
   * Adds a machine to the cluster state. The caller queues a new machine's record for writing with
   * {@link #queueRecord}. A machine of a type that the cloud does not list has no capacity.
   *
   * @param type the name of the machine type
   * @param rentedWallMicros the wall-clock time when it was rented, in microseconds
   */
  public Machine add(
      String id, String type, String zone, boolean spot, boolean owned, long rentedWallMicros) {
    MachineType machineType = term.cluster.types.get(type);
    if (machineType == null) {
      machineType = new MachineType(type, Resources.NONE, 0, 1, 0, 0, 0, List.of(zone));
    }
    Machine machine =
        new Machine(
            id, machineType, zone, spot, owned, rentedWallMicros, term.scheduler.nowMicros());
    machine.issuedToken = FencingToken.firstOfTerm(term.number);
    term.cluster.add(machine);
    return machine;
  }

  /**
   * Whether the machine was removed in this term. Lists from the cloud and delayed heartbeats may
   * still contain such a machine.
   */
  public boolean wasRemoved(String id) {
    return removedMachineIds.contains(id);
  }

  /**
   * Assigns a task to a machine and queues the assignment for writing. The task must not be started
   * before the assignment is durable.
   *
   * @param task the index of the task in its job
   * @param attempt the attempt number
   */
  public Assignment assign(Machine machine, Job job, int task, long attempt) {
    Assignment assignment =
        new Assignment(
            new TaskId(job.spec.id(), task),
            attempt,
            machine,
            job.spec.team(),
            job.spec.resourcesPerTask(),
            job,
            false,
            term.scheduler.nowMicros());
    assignment.waitedMicros = assignment.placedMicros - job.waitingSinceMicros(task);
    term.metrics.record(Timing.PLACING, assignment.waitedMicros);
    assignment.hadImage = machine.hasImage(job.spec.image());
    term.cluster.addAssignment(assignment);
    log.queueAssignment(assignment);
    return assignment;
  }

  /**
   * Restores the machines, assignments and cached images that earlier leaders stored. The jobs must
   * have been loaded before.
   *
   * @param logSegments the stored log segments, in any order
   * @throws MalformedMessageException if a segment is unreadable; the cluster state is not changed
   */
  public void load(List<KeyValue> logSegments) throws MalformedMessageException {
    Map<Long, Integer> slotBySequenceNumber = new HashMap<>();
    List<LogSegment> segments = new ArrayList<>();
    for (KeyValue item : logSegments) {
      LogSegment segment = LogSegment.read(item.value());
      segments.add(segment);
      slotBySequenceNumber.put(segment.number(), Keys.logSegmentSlot(item.key()));
    }
    segments.sort(Comparator.comparingLong(LogSegment::number));
    LogState state = LogState.of(segments);
    state.machines().forEach(this::restoreMachine);
    state.placements().forEach(this::restoreAssignment);
    state.images().forEach(this::restoreImage);
    segments.forEach(segment -> log.load(slotBySequenceNumber.get(segment.number()), segment));
  }

  private void restoreMachine(LogSegment.MachineEntry entry) {
    LogSegment.MachineKind kind = entry.kind();
    Machine machine =
        add(
            entry.id(),
            kind.type(),
            kind.zone(),
            kind.spot(),
            kind.owned(),
            entry.rentedWallMicros());
    machine.inherited = true;
    machine.retiring = entry.retiring();
    machine.retiringDurable = entry.retiring();
  }

  private void restoreAssignment(LogSegment.Placement entry) {
    Job job = term.cluster.jobs.get(entry.task().job());
    if (job != null && entry.task().index() >= job.spec.tasks()) {
      job = null;
    }
    Assignment assignment =
        new Assignment(
            entry.task(),
            entry.attempt(),
            term.cluster.machines.get(entry.machine()),
            entry.usage().team(),
            restoredResources(entry, job),
            job,
            true,
            term.scheduler.nowMicros());
    assignment.durable = true;
    if (job == null || job.done.get(entry.task().index())) {
      assignment.evicting = true;
    }
    term.cluster.addAssignment(assignment);
    if (job != null && job.spec.kind() == JobKind.GANG) {
      job.gangAttempt = Math.max(job.gangAttempt, assignment.attempt);
    }
    if (job == null) {
      term.cluster.markCancelled(assignment, Cluster.LONG_AGO);
    }
  }

  /**
   * The resources of an attempt. An earlier version stored them rounded to thousandths, so those of
   * the job count if they are larger.
   */
  private static Resources restoredResources(LogSegment.Placement entry, Job job) {
    Resources stored = entry.usage().resources();
    return job == null ? stored : Resources.max(stored, job.spec.resourcesPerTask());
  }

  private void restoreImage(LogSegment.CachedImage image) {
    Machine machine = term.cluster.machines.get(image.machine());
    if (machine != null) {
      machine.recordImageUse(image.name(), image.gb());
    }
  }

  /**
   * Marks the task to be stopped. Its machine is then among {@link #takeMachinesToCommand}, so that
   * its worker is sent the command to stop the task.
   */
  public void markForEviction(Assignment assignment) {
    assignment.evicting = true;
    machinesToCommand.add(assignment.machine);
  }

  /** Returns and clears the set of machines whose workers have to be sent new commands. */
  public List<Machine> takeMachinesToCommand() {
    List<Machine> machines = List.copyOf(machinesToCommand);
    machinesToCommand.clear();
    return machines;
  }

  /**
   * Releases an assignment and its resources; does nothing if it was released before. The caller
   * has to make sure that the task can no longer be on the machine. The stored log may contain the
   * assignment for a little longer. That is safe: a new leader then counts resources as used that
   * are free, and every later assignment is written together with this release or after it.
   */
  public void release(Assignment assignment) {
    Machine machine = assignment.machine;
    long nowMicros = term.scheduler.nowMicros();
    if (!term.cluster.release(assignment, nowMicros)) {
      return;
    }
    if (machine.empty()) {
      machine.idleSinceMicros = nowMicros;
    }
    log.queueAttemptEnd(assignment);
  }

  /** Records that the machine uses the job's image, which is in its cache from now on. */
  public void recordImageUse(Machine machine, JobSpec job) {
    boolean alreadyCached = machine.hasImage(job.image());
    machine.recordImageUse(job.image(), job.imageGb());
    if (!alreadyCached) {
      log.queueCachedImage(machine, job.image(), job.imageGb());
    }
  }

  /**
   * Releases every assignment of the machine and drops the orphan tasks that its worker reported.
   */
  public void releaseAll(Machine machine) {
    List.copyOf(machine.assignments.values()).forEach(this::release);
    term.cluster.replaceOrphanTasks(machine, List.of());
  }

  /**
   * Handles a new epoch of the machine's worker: releases the assignments that this leader made and
   * keeps those of earlier leaders, whose start commands may still be in flight.
   */
  public void handleNewEpoch(Machine machine) {
    for (Assignment assignment : List.copyOf(machine.assignments.values())) {
      if (!assignment.inherited) {
        release(assignment);
      } else {
        assignment.endEpoch();
      }
    }
  }

  /**
   * Removes a machine that no longer exists, with its assignments: the cloud has confirmed its
   * deletion or no longer lists it.
   */
  public void remove(Machine machine) {
    releaseAll(machine);
    term.cluster.remove(machine);
    removedMachineIds.add(machine.id);
    log.queueMachineRemoval(machine);
  }

  /**
   * Marks a machine to be returned to the cloud and queues that for writing. Does nothing if it is
   * marked already. Its deletion may be requested from the cloud once the mark is durable.
   *
   * @param reason the reason, for the log line
   */
  public void retire(Machine machine, String reason) {
    if (!machine.retiring) {
      LOG.info(
          "returning machine {} to the cloud ({} {}{}): {}",
          machine.id,
          machine.type.name(),
          machine.zone,
          machine.spot ? " spot" : "",
          reason);
      machine.retiring = true;
      queueRecord(machine);
    }
  }

  /** Releases all assignments of machines whose workers' leases have certainly expired. */
  public void expireSilentLeases(long nowMicros) {
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      boolean mayHaveTasks = machine.reported || !machine.assignments.isEmpty();
      if (!machine.leaseExpired
          && mayHaveTasks
          && term.delegation.leaseExpired(machine.lastLeaseRenewalMicros, nowMicros)) {
        LOG.info("lease of machine {} expired; releasing its assignments", machine.id);
        machine.leaseExpired = true;
        releaseAll(machine);
      }
    }
  }

  /** Notifies the listener that the progress of tasks on the machine has become durable. */
  public void notifyProgressDurable(Machine machine) {
    durableListener.accept(machine);
  }

  /** Queues the record of a new or changed machine for writing. */
  public void queueRecord(Machine machine) {
    log.queueMachine(machine);
  }
}
