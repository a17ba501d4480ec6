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
 * Keeps the machines and assignments of the cluster state and their records in the store in step.
 * An assignment is released only when its task can no longer be on the machine. Confined to the
 * event loop thread.
 */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  private final LeaderTerm term;
  private final Set<String> removed = new HashSet<>();
  private final Set<Machine> pendingPush = new LinkedHashSet<>();
  private Consumer<Machine> onDurable = machine -> {};
  private final MachineLog log;

  /** Creates the registry of a term, without machines. */
  public MachineRegistry(LeaderTerm term) {
    this.term = term;
    log = new MachineLog(term, machine -> onDurable.accept(machine));
  }

  /**
   * Sets what is called for a machine when a placement, a retirement or the progress of a task on
   * it has become durable. Replaces the action set before.
   */
  public void onDurable(Consumer<Machine> action) {
    onDurable = action;
  }

  /**
   * Adds a machine to the cluster state; {@link #save} writes its record. A machine of a type that
   * the cloud does not list has no capacity.
   *
   * @param type the name of the machine type
   * @param rentedWallMicros the time of day when it was rented, in microseconds
   */
  public Machine add(
      String id, String type, String zone, boolean spot, boolean owned, long rentedWallMicros) {
    MachineType known = term.cluster.types.get(type);
    if (known == null) {
      known = new MachineType(type, Resources.NONE, 0, 1, 0, 0, 0, List.of(zone));
    }
    Machine machine =
        new Machine(id, known, zone, spot, owned, rentedWallMicros, term.scheduler.nowMicros());
    machine.issuedToken = FencingToken.first(term.number);
    term.cluster.add(machine);
    return machine;
  }

  /** Whether the machine was deleted in this term; cloud lists and late heartbeats may name it. */
  public boolean wasRemoved(String id) {
    return removed.contains(id);
  }

  /**
   * Places a task on a machine and writes that. The task must not be started before the assignment
   * is durable.
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
            job.spec.perTask(),
            job,
            false,
            term.scheduler.nowMicros());
    assignment.waitedMicros = assignment.placedMicros - job.waitingSinceMicros(task);
    term.metrics.record(Timing.PLACING, assignment.waitedMicros);
    assignment.hadImage = machine.hasImage(job.spec.image());
    term.cluster.addAssignment(assignment);
    log.placed(assignment);
    return assignment;
  }

  /**
   * Takes over the machines and placements that earlier leaders wrote. The jobs must have been
   * loaded before.
   *
   * @param items the stored log segments, in any order
   * @throws MalformedMessageException if a segment is unreadable; the cluster state is not changed
   */
  public void load(List<KeyValue> items) throws MalformedMessageException {
    Map<Long, Integer> slots = new HashMap<>();
    List<LogSegment> segments = new ArrayList<>();
    for (KeyValue item : items) {
      LogSegment segment = LogSegment.read(item.value());
      segments.add(segment);
      slots.put(segment.number(), Keys.logSegmentSlot(item.key()));
    }
    segments.sort(Comparator.comparingLong(LogSegment::number));
    LogState state = LogState.of(segments);
    state.machines().forEach(this::restoreMachine);
    state.placed().forEach(this::restoreAssignment);
    state.images().forEach(this::restoreImage);
    segments.forEach(segment -> log.load(slots.get(segment.number()), segment));
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
            entry.usage().resources(),
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

  private void restoreImage(LogSegment.CachedImage image) {
    Machine machine = term.cluster.machines.get(image.machine());
    if (machine != null) {
      machine.recordImageUse(image.name(), image.gb());
    }
  }

  /** Marks the task to be stopped; its worker is told with the next commands. */
  public void evict(Assignment assignment) {
    assignment.evicting = true;
    pendingPush.add(assignment.machine);
  }

  /** Returns, once, the machines whose workers have new commands, each named once. */
  public List<Machine> takePendingPushes() {
    List<Machine> machines = List.copyOf(pendingPush);
    pendingPush.clear();
    return machines;
  }

  /**
   * Frees what an assignment holds, once its task can no longer be on the machine. Does nothing if
   * it was released already. The log may name it a little longer: that only makes a new leader more
   * careful, and whatever is placed later is written with it or after it.
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
    log.ended(assignment);
  }

  /** Records that the machine has the job's image from now on. */
  public void recordImageUse(Machine machine, JobSpec job) {
    boolean known = machine.hasImage(job.image());
    machine.recordImageUse(job.image(), job.imageGb());
    if (!known) {
      log.imageCached(machine, job.image(), job.imageGb());
    }
  }

  /** Releases every assignment of the machine, and forgets the orphan tasks reported from it. */
  public void releaseAll(Machine machine) {
    List.copyOf(machine.assignments.values()).forEach(this::release);
    term.cluster.replaceOrphanTasks(machine, List.of());
  }

  /**
   * Handles a new epoch of the machine's worker: what this leader placed there is released; what
   * earlier leaders placed is kept, since their commands may still arrive.
   */
  public void releaseOwn(Machine machine) {
    for (Assignment assignment : List.copyOf(machine.assignments.values())) {
      if (!assignment.inherited) {
        release(assignment);
      } else {
        assignment.endEpoch();
      }
    }
  }

  /**
   * Removes a machine that no longer exists, and everything on it: the cloud has confirmed its
   * deletion, or no longer lists it.
   */
  public void remove(Machine machine) {
    releaseAll(machine);
    term.cluster.remove(machine);
    removed.add(machine.id);
    log.machineRemoved(machine);
  }

  /**
   * Starts to return a machine to the cloud, unless that was started before. The cloud may be
   * called once the decision is durable.
   *
   * @param reason why, for the log
   */
  public void retire(Machine machine, String reason) {
    if (!machine.retiring) {
      LOG.info(
          "returning {} ({} {}{}): {}",
          machine.id,
          machine.type.name(),
          machine.zone,
          machine.spot ? " spot" : "",
          reason);
      machine.retiring = true;
      save(machine);
    }
  }

  /** Releases what was on machines silent for longer than any worker's lease lasts. */
  public void expireSilentLeases(long nowMicros) {
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      boolean mayHaveTasks = machine.reported || !machine.assignments.isEmpty();
      if (!machine.leaseExpired
          && mayHaveTasks
          && term.delegation.leaseExpired(machine.lastAnsweredMicros, nowMicros)) {
        LOG.info("lease of {} expired", machine.id);
        machine.leaseExpired = true;
        releaseAll(machine);
      }
    }
  }

  /** Reports that the progress of tasks on the machine has become durable. */
  public void progressDurable(Machine machine) {
    onDurable.accept(machine);
  }

  /** Writes the machine's record, new or changed. */
  public void save(Machine machine) {
    log.machineChanged(machine);
  }
}
