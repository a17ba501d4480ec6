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
import madderrudder.protocol.StoreCodec.Item;
import madderrudder.protocol.TaskId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps the machines of the picture and their records in step, and ends what is surely gone. */
public final class MachineRegistry {
  private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

  private final LeaderTerm term;
  private final Set<String> removed = new HashSet<>();
  private final Set<Machine> touched = new LinkedHashSet<>();
  private Consumer<Machine> onDurable = machine -> {};
  private final MachineLog log;

  public MachineRegistry(LeaderTerm term) {
    this.term = term;
    log = new MachineLog(term, machine -> onDurable.accept(machine));
  }

  /** Called when what was written of a machine has become durable. */
  public void onDurable(Consumer<Machine> action) {
    onDurable = action;
  }

  public Machine add(
      String id, String type, String zone, boolean spot, boolean owned, long rentedWallMicros) {
    MachineType known = term.cluster.types.get(type);
    if (known == null) {
      known = new MachineType(type, Resources.NONE, 0, 1, 0, 0, 0, List.of(zone));
    }
    Machine machine =
        new Machine(id, known, zone, spot, owned, rentedWallMicros, term.scheduler.nowMicros());
    machine.issuedToken = FencingToken.first(term.term);
    term.cluster.add(machine);
    return machine;
  }

  /** Deleted in this term; lists and late reports may still name it. */
  public boolean wasRemoved(String id) {
    return removed.contains(id);
  }

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

  /** Takes over what the log of earlier leaders says. */
  public void load(List<Item> items) throws MalformedMessageException {
    Map<Long, Integer> slots = new HashMap<>();
    List<LogSegment> pages = new ArrayList<>();
    for (Item item : items) {
      LogSegment page = LogSegment.read(item.value());
      pages.add(page);
      slots.put(page.number(), Keys.slot(item.key()));
    }
    pages.sort(Comparator.comparingLong(LogSegment::number));
    LogState reading = LogState.of(pages);
    for (LogSegment.MachineEntry entry : reading.machines()) {
      LogSegment.JobKind kind = entry.kind();
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
    reading.placed().forEach(this::inherit);
    for (LogSegment.Image image : reading.images()) {
      Machine machine = term.cluster.machines.get(image.machine());
      if (machine != null) {
        machine.recordImageUse(image.name(), image.gb());
      }
    }
    pages.forEach(page -> log.load(slots.get(page.number()), page));
  }

  private void inherit(LogSegment.Entry entry) {
    Job job = term.cluster.jobs.get(entry.task().job());
    if (job != null && entry.task().index() >= job.spec.tasks()) {
      job = null;
    }
    Assignment assignment =
        new Assignment(
            entry.task(),
            entry.attempt(),
            term.cluster.machines.get(entry.machine()),
            entry.share().team(),
            entry.share().takes(),
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

  /** The task shall not run there any more; its worker will hear of it. */
  public void evict(Assignment assignment) {
    assignment.evicting = true;
    touched.add(assignment.machine);
  }

  /** The machines with something new to be told, each named once. */
  public List<Machine> takeTouched() {
    List<Machine> machines = List.copyOf(touched);
    touched.clear();
    return machines;
  }

  /**
   * The task is surely not on the machine any more. The log may name it for a moment longer: that
   * only makes a new leader more careful, and whatever is placed later is written with it or after
   * it.
   */
  public void release(Assignment assignment) {
    Machine machine = assignment.machine;
    long now = term.scheduler.nowMicros();
    if (!term.cluster.release(assignment, now)) {
      return;
    }
    if (machine.empty()) {
      machine.idleSinceMicros = now;
    }
    log.ended(assignment);
  }

  /** The machine has the image from now on. */
  public void recordImageUse(Machine machine, JobSpec job) {
    boolean known = machine.hasImage(job.image());
    machine.recordImageUse(job.image(), job.imageGb());
    if (!known) {
      log.kept(machine, job.image(), job.imageGb());
    }
  }

  public void releaseAll(Machine machine) {
    List.copyOf(machine.assignments.values()).forEach(this::release);
    term.cluster.replaceOrphanTasks(machine, List.of());
  }

  /** Its worker has begun a new session: what this leader has placed there is released. */
  public void releaseOwn(Machine machine) {
    for (Assignment assignment : List.copyOf(machine.assignments.values())) {
      if (!assignment.inherited) {
        release(assignment);
      } else {
        assignment.endSession();
      }
    }
  }

  /**
   * The machine and everything on it is gone: the cloud has confirmed its deletion, or lists it no
   * more.
   */
  public void remove(Machine machine) {
    releaseAll(machine);
    term.cluster.remove(machine);
    removed.add(machine.id);
    log.gone(machine);
  }

  public void retire(Machine machine, String why) {
    if (!machine.retiring) {
      LOG.info(
          "returning {} ({} {}{}): {}",
          machine.id,
          machine.type.name(),
          machine.zone,
          machine.spot ? " spot" : "",
          why);
      machine.retiring = true;
      save(machine);
    }
  }

  /** Machines that were silent for longer than any lease lasts have dropped their tasks. */
  public void expireSilentLeases(long nowMicros) {
    for (Machine machine : List.copyOf(term.cluster.machines.values())) {
      boolean counts = machine.reported || !machine.assignments.isEmpty();
      if (!machine.leaseExpired
          && counts
          && term.delegation.dropped(machine.lastAnsweredMicros, nowMicros)) {
        LOG.info("{} has been silent for a lease", machine.id);
        machine.leaseExpired = true;
        releaseAll(machine);
      }
    }
  }

  /** What the store was to learn of the machine's tasks it knows now. */
  public void settled(Machine machine) {
    onDurable.accept(machine);
  }

  public void save(Machine machine) {
    log.machine(machine);
  }
}
