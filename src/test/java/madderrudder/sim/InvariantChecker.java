package madderrudder.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import madderrudder.coordination.policy.Deployment;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;

/**
 * Checks the service's promises against what really happens in the simulation. Users, workers and
 * store report each event here, and {@link #check} runs after each step; a violation is recorded
 * with the rule's name, the virtual time and what was involved, and {@link
 * SimulatedCluster#assertNoViolations} fails on it. The rules have the names that the users' bench
 * gives them (ran_twice, ran_cancelled, quota, wrong_place, forgotten, ...).
 */
final class InvariantChecker {
  private static final long MAX_UNANSWERED_MICROS = 75 * SimulatedCluster.SECOND;
  private static final long MAX_LARGEST_JOB_START_MICROS = 240 * SimulatedCluster.SECOND;
  private static final long MAX_STARVATION_MICROS = 90 * SimulatedCluster.SECOND;

  private final SimScheduler scheduler;
  private final Deployment deployment;
  private final Map<String, JobSpec> submitted = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, Long> acceptedAtMicros = new HashMap<>();
  private final Map<String, Long> cancelConfirmedAtMicros = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();
  private final Map<String, Long> doneConfirmedAtMicros = new HashMap<>();
  private final Map<TaskId, SimWorker> runningOn = new HashMap<>();

  /**
   * Workers that hold a task in any state in which it may still run; they may hold it before it is
   * on the machine.
   */
  private final Map<TaskId, SimWorker> holders = new HashMap<>();

  private final Map<String, Set<Integer>> completed = new HashMap<>();
  private final Deque<CancelDeadline> cancelDeadlines = new ArrayDeque<>();
  final List<String> violations = new ArrayList<>();

  /** Jobs that fail on every machine, and how many attempts did. */
  final Set<String> failingJobs = new HashSet<>();

  int failedAttempts;

  /** Jobs whose tasks end one after the other, each three times the estimated time later. */
  final Set<String> staggeredJobs = new HashSet<>();

  private final Map<String, Long> submittedAtMicros = new HashMap<>();

  /** When the first task of each job was on a machine, of a gang all. */
  private final Map<String, Long> startedAtMicros = new HashMap<>();

  private final Map<String, Long> lastAnsweredAtMicros = new HashMap<>();
  int starts;

  /**
   * Starts that a worker refused, and stops of tasks that were then placed again: commands that the
   * true state made needless.
   */
  int rejectedStarts;

  int needlessStops;

  /** Since when a job waits though there is capacity for it; checked once all faults are over. */
  private final Map<String, Long> capacitySinceMicros = new HashMap<>();

  /** Called with each job whose last task has just completed. */
  Consumer<String> onJobCompleted = job -> {};

  /** Called with each job whose user has just learned that it is accepted, done or cancelled. */
  Consumer<String> onStateConfirmed = job -> {};

  /** The longest time from the confirmation of a cancellation to the end of a task of the job. */
  long slowestCancellationMicros;

  /** When tasks of jobs that nobody cancels were stopped by command. */
  private final Map<TaskId, Long> stoppedAtMicros = new HashMap<>();

  /** The rendezvous of the workers' gang-scheduled tasks. */
  final SimGangs gangs = new SimGangs();

  /**
   * The machine on which the store's log places a task, or null: whoever leads next must find a
   * start there.
   */
  Function<TaskId, String> loggedMachineOf = task -> null;

  /** Whether the store records that a task is done: until then its worker must. */
  Predicate<TaskId> recordsDone = task -> true;

  /** A task of a cancelled job, and when it must be gone. */
  private record CancelDeadline(TaskId task, long deadlineMicros) {}

  InvariantChecker(SimScheduler scheduler, Deployment deployment) {
    this.scheduler = scheduler;
    this.deployment = deployment;
  }

  private void recordViolation(String rule, String detail) {
    violations.add(rule + " at " + scheduler.nowMicros / 1e6 + " s: " + detail);
  }

  JobSpec specOf(String job) {
    return submitted.get(job);
  }

  void jobSubmitted(JobSpec job) {
    submitted.put(job.id(), job);
    submittedAtMicros.putIfAbsent(job.id(), scheduler.nowMicros);
  }

  /** The first task of a job has its image, or all of a gang. */
  void jobStarted(String job) {
    startedAtMicros.putIfAbsent(job, scheduler.nowMicros);
  }

  void cancellationRequested(String job) {
    cancelRequested.add(job);
  }

  /** A task starts: its image is on the machine. */
  void taskStarted(TaskId task, SimWorker machine) {
    starts++;
    Long confirmedAtMicros = cancelConfirmedAtMicros.get(task.job());
    if (confirmedAtMicros != null
        && scheduler.nowMicros - confirmedAtMicros > deployment.workers().cancelMicros()) {
      recordViolation("ran_cancelled", task + " starts on " + machine.id);
    }
    SimWorker other = runningOn.put(task, machine);
    if (other != null && other != machine) {
      recordViolation("ran_twice", task + " on " + machine.id + " while on " + other.id);
    }
    String logged = loggedMachineOf.apply(task);
    if (!machine.id.equals(logged)) {
      recordViolation(
          "not_written_ahead", task + " starts on " + machine.id + ", and the log names " + logged);
    }
    JobSpec job = submitted.get(task.job());
    if (job.kind() != JobKind.GANG) {
      jobStarted(job.id());
    }
    checkPlacement(task, job, machine);
    Resources usage = usage(job.team(), runningOn.keySet());
    if (!deployment.teams().get(job.team()).allows(usage)) {
      recordViolation("quota", job.team() + " uses " + usage);
    }
  }

  /** Type, zone and purchase kind of the machine, and the job's spread over the zones. */
  private void checkPlacement(TaskId task, JobSpec job, SimWorker machine) {
    if (!FreeCapacity.isSuitable(job, machine)) {
      recordViolation("wrong_place", task + " on " + machine.id);
    }
    int sameZone = 0;
    for (Map.Entry<TaskId, SimWorker> entry : runningOn.entrySet()) {
      if (entry.getKey().job().equals(task.job())) {
        if (entry.getValue().zone.equals(machine.zone)) {
          sameZone++;
        } else if (job.oneZone()) {
          recordViolation("wrong_place", task + " in a second zone");
        }
      }
    }
    if (sameZone > job.mostPerZone()) {
      recordViolation("wrong_place", task + " is one too many in " + machine.zone);
    }
  }

  void taskReceived(TaskId task, SimWorker machine) {
    holders.put(task, machine);
    Long at = stoppedAtMicros.remove(task);
    needlessStops += at != null && scheduler.nowMicros - at < 30 * SimulatedCluster.SECOND ? 1 : 0;
  }

  /** A command stops an active task. */
  void taskStopped(TaskId task) {
    if (!cancelRequested.contains(task.job())) {
      stoppedAtMicros.put(task, scheduler.nowMicros);
    }
  }

  /** The tasks that workers hold. */
  Set<TaskId> heldTasks() {
    return holders.keySet();
  }

  /** The jobs whose acceptance was confirmed before the moment. */
  List<String> acceptedBefore(long micros) {
    return acceptedAtMicros.entrySet().stream()
        .filter(job -> job.getValue() < micros)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** How many tasks are on machines though the cancellation of their job is confirmed. */
  long runningCancelledTasks() {
    return runningOn.keySet().stream()
        .filter(task -> cancelConfirmedAtMicros.containsKey(task.job()))
        .count();
  }

  /** How many jobs have completed some of their tasks and not all. */
  long partlyCompletedJobs() {
    return completed.entrySet().stream()
        .filter(job -> job.getValue().size() < submitted.get(job.getKey()).tasks())
        .count();
  }

  /** How many tasks are on machines. */
  int runningTasks() {
    return runningOn.size();
  }

  /** Whether the job is accepted, nobody has asked to cancel it, and it is not done. */
  boolean isLive(String job) {
    return accepted.contains(job) && !cancelRequested.contains(job) && !isDone(job);
  }

  void taskRemoved(TaskId task, SimWorker machine) {
    holders.remove(task, machine);
  }

  /** The machine whose worker holds the task within its lease, or null. */
  String holderOf(TaskId task) {
    SimWorker holder = holders.get(task);
    return holder == null || holder.leaseExpired() ? null : holder.id;
  }

  void taskExited(TaskId task, SimWorker machine) {
    runningOn.remove(task, machine);
    slowestCancellationMicros =
        Math.max(
            slowestCancellationMicros,
            scheduler.nowMicros
                - cancelConfirmedAtMicros.getOrDefault(task.job(), scheduler.nowMicros));
  }

  /** A worker is told to drop its record of a task that is done. */
  void taskRecordDropped(TaskId task, SimWorker machine) {
    if (!recordsDone.test(task)) {
      recordViolation("forgotten_early", task + " on " + machine.id);
    }
  }

  void taskCompleted(TaskId task) {
    if (completed.computeIfAbsent(task.job(), job -> new HashSet<>()).add(task.index())
        && isDone(task.job())) {
      onJobCompleted.accept(task.job());
    }
  }

  private boolean isDone(String job) {
    return completed.getOrDefault(job, Set.of()).size() == submitted.get(job).tasks();
  }

  /** A request that must be refused was answered: its job can't run, or lacks a field. */
  void invalidRequestAnswered(String request, int status) {
    if (status == 200 || status == 201) {
      recordViolation("accepted_wrong", request + " got " + status);
    }
  }

  long tasksOn(SimWorker machine) {
    return runningOn.values().stream().filter(machine::equals).count();
  }

  boolean isCompleted(TaskId task) {
    return completed.getOrDefault(task.job(), Set.of()).contains(task.index());
  }

  /** A user was answered about a job; an answer to a question asked earlier may well be older. */
  void jobAnswered(
      String job, int status, String state, boolean submission, long requestedAtMicros) {
    if ((status == 404 && accepted.contains(job))
        || (submission && (status == 400 || status == 422) && accepted.contains(job))) {
      recordViolation("forgotten", job + " got " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!submitted.containsKey(job)) {
      recordViolation("invented", job);
      return;
    }
    boolean isFirstConfirmation = accepted.add(job);
    lastAnsweredAtMicros.put(job, scheduler.nowMicros);
    acceptedAtMicros.putIfAbsent(job, scheduler.nowMicros);
    boolean done = state.equals("done");
    boolean cancelled = state.equals("aborted");
    if ((doneConfirmedAtMicros.getOrDefault(job, Long.MAX_VALUE) < requestedAtMicros && !done)
        || (cancelConfirmedAtMicros.getOrDefault(job, Long.MAX_VALUE) < requestedAtMicros
            && !cancelled)
        || (cancelled && !cancelRequested.contains(job))) {
      recordViolation("went_back", job + " called " + state);
    }
    if (done) {
      isFirstConfirmation |= doneConfirmedAtMicros.putIfAbsent(job, scheduler.nowMicros) == null;
      if (!isDone(job)) {
        recordViolation("not_done", job);
      }
    }
    if (cancelled) {
      isFirstConfirmation |= recordCancellation(job);
    }
    if (isFirstConfirmation) {
      onStateConfirmed.accept(job);
    }
  }

  /** Sets the deadline of the job's tasks; whether the user learns of it for the first time. */
  private boolean recordCancellation(String job) {
    if (cancelConfirmedAtMicros.putIfAbsent(job, scheduler.nowMicros) != null) {
      return false;
    }
    long deadlineMicros = scheduler.nowMicros + deployment.workers().cancelMicros();
    for (int task = 0; task < submitted.get(job).tasks(); task++) {
      cancelDeadlines.addLast(new CancelDeadline(new TaskId(job, task), deadlineMicros));
    }
    return true;
  }

  /**
   * To be called each second once all faults are over: no job may wait for {@link
   * #MAX_STARVATION_MICROS} while its team is under its limit and a machine that fits has capacity;
   * for a gang, for all that it lacks at once.
   */
  void checkStarvation(List<SimWorker> machines) {
    for (String id : accepted) {
      JobSpec job = submitted.get(id);
      List<TaskId> waitingTasks =
          IntStream.range(0, job.tasks())
              .mapToObj(index -> new TaskId(id, index))
              .filter(task -> holderOf(task) == null && !isCompleted(task))
              .toList();
      int tasksNeeded = job.kind() == JobKind.GANG ? waitingTasks.size() : 1;
      if (waitingTasks.isEmpty()
          || !isLive(id)
          || failingJobs.contains(id)
          || !hasCapacity(job, tasksNeeded, machines)) {
        capacitySinceMicros.remove(id);
      } else if (scheduler.nowMicros
              - capacitySinceMicros.computeIfAbsent(id, ignored -> scheduler.nowMicros)
          > MAX_STARVATION_MICROS) {
        recordViolation("left_waiting", waitingTasks.size() + " tasks of " + job);
        capacitySinceMicros.put(id, Long.MAX_VALUE / 2);
      }
    }
  }

  private boolean hasCapacity(JobSpec job, int tasksNeeded, List<SimWorker> machines) {
    Resources usage = usage(job.team(), holders.keySet()).plus(job.perTask().times(tasksNeeded));
    return FreeCapacity.tasksThatFit(job, holders, machines) >= tasksNeeded
        && deployment.teams().get(job.team()).allows(usage);
  }

  /** How many tasks of live jobs no worker holds. */
  int waitingTasks() {
    return accepted.stream()
        .filter(this::isLive)
        .mapToInt(
            job ->
                (int)
                    IntStream.range(0, submitted.get(job).tasks())
                        .mapToObj(index -> new TaskId(job, index))
                        .filter(task -> !holders.containsKey(task) && !isCompleted(task))
                        .count())
        .sum();
  }

  /** The machines that run tasks of the job. */
  Set<SimWorker> machinesOf(String job) {
    Set<SimWorker> machines = new LinkedHashSet<>();
    runningOn.forEach(
        (task, machine) -> {
          if (task.job().equals(job)) {
            machines.add(machine);
          }
        });
    return machines;
  }

  /** Whether a task of the given size no longer fits under the team's limit. */
  boolean isAtLimit(String team, Resources perTask) {
    return !deployment.teams().get(team).allows(usage(team, holders.keySet()).plus(perTask));
  }

  /** The sum of what those of the tasks take that are of the team. */
  private Resources usage(String team, Set<TaskId> tasks) {
    return tasks.stream()
        .map(task -> submitted.get(task.job()))
        .filter(job -> job.team().equals(team))
        .map(JobSpec::perTask)
        .reduce(Resources.NONE, Resources::plus);
  }

  /** To be called after each step: cancelled tasks must be gone by their deadline. */
  void check() {
    while (!cancelDeadlines.isEmpty()) {
      CancelDeadline next = cancelDeadlines.peekFirst();
      if (scheduler.nowMicros <= next.deadlineMicros()) {
        return;
      }
      cancelDeadlines.pollFirst();
      SimWorker machine = runningOn.get(next.task());
      if (machine != null) {
        recordViolation("ran_cancelled", next.task() + " on " + machine.id);
      }
    }
  }

  /**
   * To be called at the end of a run, once all jobs have been polled for longer than {@link
   * #MAX_UNANSWERED_MICROS}: each accepted job has been answered about, ended ones too; and at
   * least half was served of each class, of each team, and of the largest jobs of each class (the
   * tenth that takes most processors, three at least). An array is served when it ends, all else
   * when it begins; the largest have to begin in time besides.
   */
  void checkAtEnd() {
    for (String job : accepted) {
      if (scheduler.nowMicros - lastAnsweredAtMicros.get(job) > MAX_UNANSWERED_MICROS) {
        recordViolation(
            "forgotten",
            job + " was last answered at " + lastAnsweredAtMicros.get(job) / 1e6 + " s");
      }
    }
    List<JobSpec> tasksNeeded =
        submitted.values().stream()
            .filter(
                job ->
                    accepted.contains(job.id())
                        && (!cancelRequested.contains(job.id())
                            || startedAtMicros.containsKey(job.id())))
            .toList();
    Map<String, List<JobSpec>> groups = new TreeMap<>();
    for (JobSpec job : tasksNeeded) {
      groups.computeIfAbsent("class " + job.jobClass(), name -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.team(), name -> new ArrayList<>()).add(job);
    }
    groups.forEach((name, jobs) -> checkHalfServed(name, jobs, this::isServed));
    groups.forEach(
        (name, jobs) -> {
          if (name.startsWith("class ")) {
            List<JobSpec> bySize = new ArrayList<>(jobs);
            bySize.sort(Comparator.comparingLong(job -> -job.perTask().milliCpus() * job.tasks()));
            checkHalfServed(
                "largest of " + name,
                bySize.subList(0, Math.min(jobs.size(), Math.max(3, jobs.size() / 10))),
                job ->
                    isServed(job)
                        && startedAtMicros.get(job.id()) - submittedAtMicros.get(job.id())
                            <= MAX_LARGEST_JOB_START_MICROS);
          }
        });
  }

  private void checkHalfServed(String name, List<JobSpec> jobs, Predicate<JobSpec> criterion) {
    long served = jobs.stream().filter(criterion).count();
    if (2 * served < jobs.size()) {
      recordViolation("unserved", served + " of " + jobs.size() + " of " + name);
    }
  }

  private boolean isServed(JobSpec job) {
    return startedAtMicros.containsKey(job.id())
        && (job.kind() != JobKind.ARRAY
            || failingJobs.contains(job.id())
            || cancelRequested.contains(job.id())
            || isDone(job.id()));
  }

  boolean isFinished(String job) {
    return doneConfirmedAtMicros.containsKey(job) || cancelConfirmedAtMicros.containsKey(job);
  }
}
