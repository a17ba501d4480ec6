package madderrudder.coordination.state;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.estimates.TaskProfile;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.JobState;

/** A job in the leader's picture: which tasks are done, which are held on machines, which wait. */
public final class Job {
  private static final long BACKOFF_MICROS = 1_000_000;
  private static final long MOST_BACKOFF_MICROS = 60_000_000;
  private static final int FAULTY_AFTER = 4;
  private static final long ELSEWHERE_MICROS = 60_000_000;

  /**
   * After a change of leader; long enough that the jobs with a mistake in them are no burst beside
   * what is to be caught up with.
   */
  private static final long FOUND_BACKOFF_MICROS = 10_000_000;

  public final JobSpec spec;
  public final TeamQuota team;

  /** The version of its key; 0 until known. */
  public final long version;

  public final long acceptedWallMicros;
  final long seenMicros;
  public final BitSet done = new BitSet();

  /** Chunks of progress that the store lacks. */
  public final BitSet unwritten = new BitSet();

  public final Set<Assignment> assignments = new LinkedHashSet<>();

  /** Set when the job is over for its user; its tasks must go. */
  public boolean ended;

  /** The attempt that a gang's tasks share. */
  public long gangAttempt;

  public boolean gangStarted;

  /**
   * Found by this leader when it took over: what its tasks have saved under earlier ones is not
   * known.
   */
  public boolean inherited;

  /** What its tasks have in common with others. */
  public final TaskProfile profile;

  /** What its tasks are expected to take, when that was last asked. */
  public RunTimes.Expected expected;

  /** Tasks that have run under an earlier attempt, and may have saved their progress. */
  private final BitSet begun = new BitSet();

  private final BitSet held = new BitSet();

  /** How often a task is held: while an old attempt lingers, more than once. */
  private final Map<Integer, Integer> holds = new HashMap<>();

  private final Map<String, Integer> inZones = new HashMap<>();
  private final Map<Integer, Long> waitSince = new HashMap<>();
  private final Map<Integer, Long> notBefore = new HashMap<>();
  private final Map<Integer, Integer> errors = new HashMap<>();

  /** The machines on which tasks of it have failed under this leader, and when last. */
  private final Map<String, Long> failedOn = new HashMap<>();

  private int completions;

  /** Errors since it was found faulty, under this leader and earlier ones. */
  private int faults;

  private boolean markFailing;
  private long probeAtMicros = Long.MIN_VALUE;

  public Job(JobSpec spec, TeamQuota team, long version, long acceptedWallMicros, long nowMicros) {
    this.spec = spec;
    this.team = team;
    this.version = version;
    this.acceptedWallMicros = acceptedWallMicros;
    this.seenMicros = nowMicros;
    profile =
        new TaskProfile(spec.id(), spec.jobClass(), spec.team(), spec.image(), spec.perTask());
  }

  /** To be called by the cluster alone, which keeps its own totals beside these. */
  void hold(Assignment assignment) {
    if (assignments.add(assignment)) {
      holds.merge(assignment.task.index(), 1, Integer::sum);
      held.set(assignment.task.index());
      inZones.merge(assignment.machine.zone, 1, Integer::sum);
    }
  }

  void release(Assignment assignment, long nowMicros) {
    if (!assignments.remove(assignment)) {
      return;
    }
    inZones.computeIfPresent(
        assignment.machine.zone, (zone, count) -> count == 1 ? null : count - 1);
    int index = assignment.task.index();
    if (assignment.runningMicros >= 0) {
      begun.set(index);
    }
    if (holds.computeIfPresent(index, (task, count) -> count == 1 ? null : count - 1) == null) {
      held.clear(index);
      waitSince.put(index, nowMicros);
    }
    if (assignments.isEmpty()) {
      gangAttempt = 0;
      gangStarted = false;
    }
  }

  /**
   * A gang may be placed, or what it lacks while it gathers. One that ran, or is being stopped,
   * first has to go as a whole.
   */
  public boolean gangAcceptsPlacement() {
    return assignments.isEmpty()
        || (!gangStarted
            && gangAttempt != 0
            && gangMachinesHeard()
            && assignments.stream().noneMatch(a -> a.evicting || a.completed));
  }

  /** Of a gang that an earlier leader has placed it is known only then whether it has run. */
  public boolean gangMachinesHeard() {
    return assignments.stream()
        .allMatch(a -> !a.inherited || a.machine.reported || a.machine.leaseExpired);
  }

  /** The first task from the index on that is neither done nor held, or -1. */
  public int nextWaiting(int from) {
    int index = from;
    while (index < spec.tasks()) {
      int free = held.nextClearBit(index);
      index = done.nextClearBit(free);
      if (index == free) {
        return index < spec.tasks() ? index : -1;
      }
    }
    return -1;
  }

  /** Some task of it is or was somewhere, as far as this leader knows. */
  public boolean hasBegun() {
    return !assignments.isEmpty() || !done.isEmpty() || !begun.isEmpty();
  }

  public int waitingCount() {
    BitSet taken = (BitSet) done.clone();
    taken.or(held);
    return spec.tasks() - taken.cardinality();
  }

  public int remainingTasks() {
    return spec.tasks() - done.cardinality();
  }

  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && remainingTasks() == 0;
  }

  public long waitingSinceMicros(int task) {
    return waitSince.getOrDefault(task, seenMicros);
  }

  /**
   * Not yet, where it was refused or failed lately; of a job with a mistake one task is tried at a
   * time.
   */
  public boolean ready(int task, long nowMicros) {
    return nowMicros >= notBefore.getOrDefault(task, Long.MIN_VALUE)
        && (!failing() || (assignments.isEmpty() && nowMicros >= probeAtMicros));
  }

  public void completed() {
    completions++;
  }

  /** A refused start is tried again a little later. */
  public void refused(int task, long nowMicros) {
    notBefore.put(task, nowMicros + BACKOFF_MICROS);
  }

  /**
   * A failed task waits a little longer each time. Once the job is found faulty it waits as a
   * whole, twice as long after each further task that failed: with each of three hundred tasks
   * waiting on its own account, a job with a mistake once took five starts a second for as long as
   * its user let it.
   */
  public void failed(int task, String machine, long nowMicros) {
    int count = errors.merge(task, 1, Integer::sum);
    failedOn.put(machine, nowMicros);
    notBefore.put(task, nowMicros + Math.min(2, count) * BACKOFF_MICROS);
    if (failing()) {
      faults++;
      probeAtMicros =
          nowMicros + Math.min(MOST_BACKOFF_MICROS, BACKOFF_MICROS << Math.min(faults, 10));
    }
  }

  /**
   * A task of it has failed there lately; for good it would have nowhere to go once it had failed
   * everywhere.
   */
  public boolean failedOn(String machine, long nowMicros) {
    Long at = failedOn.get(machine);
    return at != null && nowMicros - at < ELSEWHERE_MICROS;
  }

  /** The machines on which tasks of it have failed under this leader. */
  public Set<String> failedOn() {
    return failedOn.keySet();
  }

  /**
   * It failed on several machines and never completed a task: not worth renting for, nor stopping
   * anything.
   */
  public boolean failing() {
    return completions == 0 && done.isEmpty() && (markFailing || failedOn.size() >= FAULTY_AFTER);
  }

  /**
   * Earlier leaders have found it faulty; it is tried soon, one task at first, as it is by the one
   * that found it.
   */
  public void markFailing(long nowMicros) {
    markFailing = true;
    faults = Math.max(faults, FAULTY_AFTER);
    probeAtMicros = nowMicros + FOUND_BACKOFF_MICROS;
  }

  int inZone(String zone) {
    return inZones.getOrDefault(zone, 0);
  }

  /** No task of the job may be in any other zone. */
  boolean onlyIn(String zone) {
    return inZones.isEmpty() || (inZones.size() == 1 && inZones.containsKey(zone));
  }

  /**
   * The task's attempt may have gone on from what an earlier one saved, so that it did not run the
   * whole.
   */
  public boolean mayHaveResumed(int task) {
    return spec.checkpointIntervalMicros() > 0 && (inherited || begun.get(task));
  }

  public int runningCount() {
    int count = 0;
    for (Assignment assignment : assignments) {
      if (assignment.running() && !assignment.completed) {
        count++;
      }
    }
    return count;
  }

  JobState state() {
    return runningCount() > 0 ? JobState.RUNNING : JobState.PENDING;
  }
}
