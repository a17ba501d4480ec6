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

/**
 * A job in the leader's view: which of its tasks are done, which are assigned to machines, and
 * which wait. Times are in microseconds, of the leader's monotonic clock unless the name says wall.
 * Confined to the event loop thread.
 */
public final class Job {
  /** What its owner submitted. */
  public final JobSpec spec;

  /** The quota of its team. */
  public final TeamQuota team;

  /** The version of its key in the store; 0 until known. */
  public final long version;

  /** When its submission was accepted. */
  public final long acceptedWallMicros;

  private final long firstSeenMicros;

  /** The tasks that have completed. */
  public final BitSet done = new BitSet();

  /** Chunks of progress that the store lacks. */
  public final BitSet unwrittenChunks = new BitSet();

  /** Its tasks that are, or may be, on machines. Changed by the cluster alone. */
  public final Set<Assignment> assignments = new LinkedHashSet<>();

  /** The job is over for its user; its tasks must go. */
  public boolean ended;

  /** The attempt number that the tasks of a gang share; 0 while none is assigned. */
  public long gangAttempt;

  /** Some task of the gang has run under the present attempt. */
  public boolean gangStarted;

  /**
   * Accepted before this leader took over, so that it is not known what its tasks have checkpointed
   * under earlier leaders.
   */
  public boolean inherited;

  /** What its tasks have in common with those of other jobs. */
  public final TaskProfile profile;

  /** The run time expected of its tasks when that was last asked; null before. */
  public RunTimes.Expected expected;

  /** Tasks that have run under an earlier attempt, and may have saved a checkpoint. */
  private final BitSet ranBefore = new BitSet();

  private final BitSet assigned = new BitSet();

  /** How many assignments a task has: more than one while an old attempt lingers. */
  private final Map<Integer, Integer> assignmentsOfTask = new HashMap<>();

  private final Map<String, Integer> assignmentsInZone = new HashMap<>();
  private final Map<Integer, Long> waitingSinceMicros = new HashMap<>();
  private final RetryBackoff backoff = new RetryBackoff();
  private int completions;

  /**
   * Makes a job none of whose tasks is assigned or done.
   *
   * @param version the version of its key in the store; 0 if not known yet
   * @param nowMicros since when its tasks wait, as far as this leader knows
   */
  public Job(JobSpec spec, TeamQuota team, long version, long acceptedWallMicros, long nowMicros) {
    this.spec = spec;
    this.team = team;
    this.version = version;
    this.acceptedWallMicros = acceptedWallMicros;
    this.firstSeenMicros = nowMicros;
    profile =
        new TaskProfile(spec.id(), spec.jobClass(), spec.team(), spec.image(), spec.perTask());
  }

  /** To be called by the cluster alone, which keeps its own totals beside these. */
  void addAssignment(Assignment assignment) {
    if (assignments.add(assignment)) {
      assignmentsOfTask.merge(assignment.task.index(), 1, Integer::sum);
      assigned.set(assignment.task.index());
      assignmentsInZone.merge(assignment.machine.zone, 1, Integer::sum);
    }
  }

  /** To be called by the cluster alone. */
  void removeAssignment(Assignment assignment, long nowMicros) {
    if (!assignments.remove(assignment)) {
      return;
    }
    assignmentsInZone.computeIfPresent(
        assignment.machine.zone, (zone, count) -> count == 1 ? null : count - 1);
    int index = assignment.task.index();
    if (assignment.runningMicros >= 0) {
      ranBefore.set(index);
    }
    Integer left =
        assignmentsOfTask.computeIfPresent(index, (task, count) -> count == 1 ? null : count - 1);
    if (left == null) {
      assigned.clear(index);
      waitingSinceMicros.put(index, nowMicros);
    }
    if (assignments.isEmpty()) {
      gangAttempt = 0;
      gangStarted = false;
    }
  }

  /**
   * Whether the gang may be placed, or the tasks that it lacks while it gathers. A gang that has
   * run, or is being stopped, first has to go as a whole.
   */
  public boolean gangAcceptsPlacement() {
    return assignments.isEmpty()
        || (!gangStarted
            && gangAttempt != 0
            && gangMachinesHeard()
            && assignments.stream().noneMatch(a -> a.evicting || a.completed));
  }

  /**
   * Whether all machines of a gang's tasks have been heard. Only then is it known of a gang that an
   * earlier leader placed whether it has run.
   */
  public boolean gangMachinesHeard() {
    return assignments.stream()
        .allMatch(a -> !a.inherited || a.machine.reported || a.machine.leaseExpired);
  }

  /** The first task from the index on that is neither done nor assigned, or -1. */
  public int nextWaiting(int from) {
    int index = from;
    while (index < spec.tasks()) {
      int unassigned = assigned.nextClearBit(index);
      index = done.nextClearBit(unassigned);
      if (index == unassigned) {
        return index < spec.tasks() ? index : -1;
      }
    }
    return -1;
  }

  /** Whether some task of it is or was on a machine, as far as this leader knows. */
  public boolean hasBegun() {
    return !assignments.isEmpty() || !done.isEmpty() || !ranBefore.isEmpty();
  }

  /** How many of its tasks are neither done nor assigned. */
  public int waitingCount() {
    BitSet taken = (BitSet) done.clone();
    taken.or(assigned);
    return spec.tasks() - taken.cardinality();
  }

  /** How many of its tasks are not done. */
  public int remainingTasks() {
    return spec.tasks() - done.cardinality();
  }

  /** Whether all its tasks are done; never so for a service. */
  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && remainingTasks() == 0;
  }

  /** Since when the task has been waiting, as far as this leader knows. */
  public long waitingSinceMicros(int task) {
    return waitingSinceMicros.getOrDefault(task, firstSeenMicros);
  }

  /**
   * Whether the task may be started now: not shortly after it was refused or failed, and of a
   * failing job one task at a time.
   */
  public boolean ready(int task, long nowMicros) {
    return backoff.taskReady(task, nowMicros)
        && (!failing() || (assignments.isEmpty() && backoff.probeDue(nowMicros)));
  }

  /** Records that a task has completed under this leader. */
  public void completed() {
    completions++;
  }

  /** Records that a worker refused to start the task, which is tried again a little later. */
  public void refused(int task, long nowMicros) {
    backoff.refused(task, nowMicros);
  }

  /**
   * Records that the task has failed on the machine, so that it waits a little before the next try.
   * Once the job is found to be failing it waits as a whole, twice as long after each further
   * failure: with each of three hundred tasks waiting on its own account, a job with a mistake once
   * took five starts a second for as long as its user let it.
   */
  public void failed(int task, String machine, long nowMicros) {
    backoff.failed(task, machine, nowMicros);
    if (failing()) {
      backoff.delayProbe(nowMicros);
    }
  }

  /**
   * Whether a task of it has failed on the machine lately. Not for good: a job that had failed on
   * each machine would have nowhere to go.
   */
  public boolean failedOn(String machine, long nowMicros) {
    return backoff.failedLatelyOn(machine, nowMicros);
  }

  /** The machines on which tasks of it have failed under this leader. */
  public Set<String> failedOn() {
    return backoff.machinesFailedOn();
  }

  /**
   * Whether it has failed on several machines and never completed a task: such a job is not worth
   * scaling out or preempting for.
   */
  public boolean failing() {
    return completions == 0 && done.isEmpty() && backoff.blamesJob();
  }

  /**
   * Records that earlier leaders have found it to be failing. It is tried again soon, one task at
   * first, as under the leader that found it.
   */
  public void markFailing(long nowMicros) {
    backoff.markFailing(nowMicros);
  }

  int assignmentsInZone(String zone) {
    return assignmentsInZone.getOrDefault(zone, 0);
  }

  /** No task of the job may be in any other zone. */
  boolean onlyIn(String zone) {
    return assignmentsInZone.isEmpty()
        || (assignmentsInZone.size() == 1 && assignmentsInZone.containsKey(zone));
  }

  /**
   * Whether the task's attempt may have resumed from a checkpoint of an earlier one, so that its
   * run time is not that of a whole run.
   */
  public boolean mayHaveResumed(int task) {
    return spec.checkpointIntervalMicros() > 0 && (inherited || ranBefore.get(task));
  }

  /** How many of its tasks run, wait for their gang or save a checkpoint. */
  public int runningCount() {
    int count = 0;
    for (Assignment assignment : assignments) {
      if (assignment.running() && !assignment.completed) {
        count++;
      }
    }
    return count;
  }
}
