package madderrudder.coordination.state;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.estimates.TaskProfile;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;

/**
 * A job in the leader's view: which of its tasks are done, which are assigned to machines, and
 * which are waiting. Times are in microseconds of the leader's monotonic clock, or of the wall
 * clock where the name contains "Wall". Confined to the event loop thread.
 */
public final class Job {
  /**
   * How long after the last start another task of a failing job may be started while tasks of it
   * are still on machines. Users consider a job neglected after it has waited beside free capacity
   * for 90 s.
   */
  private static final long PROBE_INTERVAL_MICROS = 45_000_000;

  /** The description of the job as submitted. */
  public final JobSpec spec;

  /** The quota of its team. */
  public final TeamQuota team;

  /** The version of its key in the store; 0 if not known. */
  public final long version;

  /** When its submission was accepted. */
  public final long acceptedWallMicros;

  private final long firstSeenMicros;

  /** The tasks that have completed. */
  public final BitSet done = new BitSet();

  /**
   * The chunks of its stored progress that are not yet written: the done tasks, and in chunk 0 also
   * the mark that the job is failing.
   */
  public final BitSet unwrittenChunks = new BitSet();

  /** Whether the store may have a record of its progress. */
  public boolean progressStored;

  /** Its tasks that are, or may be, on machines. Only {@link Cluster} changes it. */
  public final Set<Assignment> assignments = new LinkedHashSet<>();

  /** Whether the job has ended for its user; the tasks that are left must stop. */
  public boolean ended;

  /** The attempt number that the tasks of a gang share; 0 while no task is assigned. */
  public long gangAttempt;

  /** Whether some task of the gang has run under the current attempt. */
  public boolean gangStarted;

  /**
   * Whether the job was accepted before this leader took over, so that it is not known which of its
   * tasks saved checkpoints under earlier leaders.
   */
  public boolean inherited;

  /** The properties by which its run times are compared with those of other jobs. */
  public final TaskProfile profile;

  /** The last estimate of the run time of its tasks; null before the first. */
  public RunTimes.Expected lastEstimate;

  /** Tasks that have run under an earlier attempt and may have saved a checkpoint. */
  private final BitSet ranBefore = new BitSet();

  private final BitSet assigned = new BitSet();

  /** The number of assignments by task; above 1 while an earlier attempt may still be present. */
  private final Map<Integer, Integer> assignmentCounts = new HashMap<>();

  private final Map<String, Integer> assignmentsInZone = new HashMap<>();
  private final Map<Integer, Long> waitingSinceMicros = new HashMap<>();
  private final RetryBackoff backoff = new RetryBackoff();
  private final FailureDiagnosis failures = new FailureDiagnosis();
  private int completions;
  private long lastPlacedMicros;

  /**
   * Creates a job without assigned or done tasks.
   *
   * @param version the version of its key in the store; 0 if not known
   * @param nowMicros since when its tasks have been waiting, as observed by this leader
   */
  public Job(JobSpec spec, TeamQuota team, long version, long acceptedWallMicros, long nowMicros) {
    this.spec = spec;
    this.team = team;
    this.version = version;
    this.acceptedWallMicros = acceptedWallMicros;
    this.firstSeenMicros = nowMicros;
    profile =
        new TaskProfile(
            spec.id(), spec.jobClass(), spec.team(), spec.image(), spec.resourcesPerTask());
  }

  /** Adds an assignment; called only by {@link Cluster}, which updates its own totals as well. */
  void addAssignment(Assignment assignment) {
    if (assignments.add(assignment)) {
      assignmentCounts.merge(assignment.task.index(), 1, Integer::sum);
      assigned.set(assignment.task.index());
      assignmentsInZone.merge(assignment.machine.zone, 1, Integer::sum);
      lastPlacedMicros = Math.max(lastPlacedMicros, assignment.placedMicros);
    }
  }

  /** Removes an assignment; called only by {@link Cluster}. */
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
    Integer remaining =
        assignmentCounts.computeIfPresent(index, (task, count) -> count == 1 ? null : count - 1);
    if (remaining == null) {
      assigned.clear(index);
      waitingSinceMicros.put(index, nowMicros);
    }
    if (assignments.isEmpty()) {
      gangAttempt = 0;
      gangStarted = false;
    }
  }

  /**
   * Whether the gang, or the members that are missing while it gathers, may be placed. A gang that
   * has run or is being stopped must first be gone from all machines.
   */
  public boolean gangAcceptsPlacement() {
    return assignments.isEmpty()
        || (!gangStarted
            && gangAttempt != 0
            && gangMachinesReported()
            && assignments.stream().noneMatch(a -> a.evicting || a.completed));
  }

  /**
   * Whether all machines with inherited tasks of the gang have reported or lost their lease. Until
   * then it is not known whether a gang that an earlier leader placed has run.
   */
  public boolean gangMachinesReported() {
    return assignments.stream()
        .allMatch(a -> !a.inherited || a.machine.reported || a.machine.leaseExpired);
  }

  /** Returns the first task from the index on that is neither done nor assigned, or -1. */
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

  /** Whether any of its tasks is or was on a machine, as far as this leader has recorded. */
  public boolean hasBegun() {
    return !assignments.isEmpty() || !done.isEmpty() || !ranBefore.isEmpty();
  }

  /** How many of its tasks are neither done nor assigned. */
  public int waitingCount() {
    BitSet doneOrAssigned = (BitSet) done.clone();
    doneOrAssigned.or(assigned);
    return spec.tasks() - doneOrAssigned.cardinality();
  }

  /** How many of its tasks are not done. */
  public int remainingTasks() {
    return spec.tasks() - done.cardinality();
  }

  /** Whether its tasks neither end by themselves nor are preempted. */
  boolean isProductionService() {
    return spec.kind() == JobKind.SERVICE && spec.priority() == Priority.PRODUCTION;
  }

  /** Whether all its tasks are done; always false for a service. */
  public boolean complete() {
    return spec.kind() != JobKind.SERVICE && remainingTasks() == 0;
  }

  /** Since when the task has been waiting, as observed by this leader. */
  public long waitingSinceMicros(int task) {
    return waitingSinceMicros.getOrDefault(task, firstSeenMicros);
  }

  /**
   * Whether the task may be started now. It may not during the backoff after a refused start or a
   * failure.
   */
  public boolean ready(int task, long nowMicros) {
    return backoff.isTaskReady(task, nowMicros) && (!failing() || mayProbe(nowMicros));
  }

  /**
   * Whether one task of the failing job may be started. Other tasks of it may be on machines for
   * any length of time without showing whether the job is at fault, so they delay the start only
   * for some time.
   */
  private boolean mayProbe(long nowMicros) {
    return failures.isProbeDue(nowMicros)
        && (assignments.isEmpty() || nowMicros - lastPlacedMicros >= PROBE_INTERVAL_MICROS);
  }

  /** Records that a task has completed under this leader. */
  public void recordCompletion() {
    completions++;
  }

  /** Records that a worker refused to start the task, which is retried after a short backoff. */
  public void recordRefusal(int task, long nowMicros) {
    backoff.recordRefusal(task, nowMicros);
  }

  /**
   * Records that the task has failed on the machine, and delays its next start. Once the job is
   * found to be failing, the whole job is delayed, twice as long after each further failure. While
   * each task had its own backoff, a broken job of three hundred tasks caused five starts a second
   * until its user stopped it.
   *
   * @param ranMicros how long the task was reported as running; 0 if it was not
   */
  public void recordFailure(int task, String machine, long ranMicros, long nowMicros) {
    backoff.recordFailure(task, nowMicros);
    failures.recordFailure(machine, ranMicros, nowMicros);
    if (!failing() && !hasCompletions() && failures.indicatesFailingJob() && !runsSoundly()) {
      failures.markFailing();
    }
    if (failing()) {
      failures.delayProbe(nowMicros);
    }
  }

  /**
   * Whether one of its tasks has failed on the machine recently. Failures are ignored after some
   * time, because a job that has failed on every machine could otherwise not be placed again.
   */
  public boolean failedRecentlyOn(String machine, long nowMicros) {
    return failures.failedRecentlyOn(machine, nowMicros);
  }

  /** The machines on which its tasks have failed under this leader in the last ten minutes. */
  public Set<String> machinesFailedOn() {
    return failures.machinesFailedOn();
  }

  /**
   * Whether the job has failed on several machines and has never completed a task. The leader does
   * not scale out or preempt for such a job. {@link #reviewFailing} ends this state.
   */
  public boolean failing() {
    return failures.failing() && !hasCompletions();
  }

  /**
   * Records that an earlier leader found the job to be failing. It is retried after a backoff, one
   * task at a time, as under that leader.
   */
  public void inheritFailing(long nowMicros) {
    failures.inheritFailing(nowMicros);
  }

  /**
   * Ends the state in which the job is failing if it does not fail on every machine after all: one
   * of its tasks runs soundly, or the failures are outdated. Completions alone can't end it,
   * because tasks of a service never complete, and others may take hours.
   *
   * @return why the state ended; empty if the job is not failing or the state continues
   */
  public Optional<FailingEnd> reviewFailing(long nowMicros) {
    if (!failing()) {
      return Optional.empty();
    }
    Optional<FailingEnd> end = Optional.empty();
    if (runsSoundly()) {
      end = Optional.of(FailingEnd.TASK_RUNS);
    } else if (failures.outdated(nowMicros)) {
      end = Optional.of(FailingEnd.NO_RECENT_FAILURE);
    }
    if (end.isPresent()) {
      failures.clearFailing();
    }
    return end;
  }

  private boolean hasCompletions() {
    return completions > 0 || !done.isEmpty();
  }

  /** Whether one of its tasks has run for longer than a task of a job that always fails would. */
  private boolean runsSoundly() {
    long soundRunMicros = failures.soundRunMicros();
    return assignments.stream()
        .anyMatch(assignment -> assignment.reportedRunMicros() >= soundRunMicros);
  }

  /** How many of its tasks are, or may be, in the zone. */
  int assignmentsInZone(String zone) {
    return assignmentsInZone.getOrDefault(zone, 0);
  }

  /** Whether no task of the job may be in any other zone. */
  boolean onlyIn(String zone) {
    return assignmentsInZone.isEmpty()
        || (assignmentsInZone.size() == 1 && assignmentsInZone.containsKey(zone));
  }

  /**
   * Whether the current attempt of the task may have resumed from a checkpoint of an earlier one,
   * so that its run time is not that of a complete run.
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
