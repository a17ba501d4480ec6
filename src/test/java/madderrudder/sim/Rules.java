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
 * The rules that make a day count for nothing, checked against what really happens in the
 * simulation.
 */
final class Rules {
  private static final long FORGOTTEN_MICROS = 75 * World.SECOND;
  private static final long LARGEST_BEGIN_MICROS = 240 * World.SECOND;
  private static final long LEFT_WAITING_MICROS = 90 * World.SECOND;

  private final Sim sim;
  private final Deployment deployment;
  private final Map<String, JobSpec> submitted = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();
  private final Map<String, Long> acceptedAt = new HashMap<>();
  private final Map<String, Long> toldCancelled = new HashMap<>();
  private final Set<String> askedToCancel = new HashSet<>();
  private final Map<String, Long> toldDone = new HashMap<>();
  private final Map<TaskId, SimWorker> onMachine = new HashMap<>();

  /**
   * Workers that have a task in any state in which it may still run; they may have it before it is
   * there.
   */
  private final Map<TaskId, SimWorker> held = new HashMap<>();

  private final Map<String, Set<Integer>> completed = new HashMap<>();
  private final Deque<Doomed> doomed = new ArrayDeque<>();
  final List<String> broken = new ArrayList<>();

  /** Jobs with a mistake in them, which fail on every machine; and how often they did. */
  final Set<String> mistaken = new HashSet<>();

  int mistakes;

  /** Jobs whose tasks end one after the other, each three times the estimated time later. */
  final Set<String> apart = new HashSet<>();

  private final Map<String, Long> submittedAt = new HashMap<>();

  /** When the first task of each job was on a machine, of a gang all. */
  private final Map<String, Long> begunAt = new HashMap<>();

  private final Map<String, Long> answeredAt = new HashMap<>();
  int starts;

  /**
   * Starts that a worker refused, and stops of tasks that then were placed again: orders that the
   * truth made needless.
   */
  int refused;

  int stoppedInVain;

  /** Since when a job waits while there is room for it; looked at once all troubles are over. */
  private final Map<String, Long> roomSince = new HashMap<>();

  /** Told of a job that all of its tasks have completed, at that moment. */
  Consumer<String> onEnd = job -> {};

  /** Told of a job whose user has just learned that it is accepted, done or cancelled. */
  Consumer<String> onNews = job -> {};

  /** The longest time from telling a user of a cancellation to the end of a task of the job. */
  long slowestEndMicros;

  /** When tasks of jobs that nobody cancels were stopped by command. */
  private final Map<TaskId, Long> stopped = new HashMap<>();

  /** What the workers' gangs know of each other. */
  final SimGangs gangs = new SimGangs();

  /** Where the store's log names a task: a start must be found there by whoever leads next. */
  Function<TaskId, String> placeOf = task -> null;

  /** Whether the store keeps that a task is done: until then its worker must. */
  Predicate<TaskId> keepsDone = task -> true;

  /** A task of a cancelled job, and when it must be gone. */
  private record Doomed(TaskId task, long byMicros) {}

  Rules(Sim sim, Deployment deployment) {
    this.sim = sim;
    this.deployment = deployment;
  }

  private void breaks(String rule, String detail) {
    broken.add(rule + " at " + sim.nowMicros / 1e6 + " s: " + detail);
  }

  JobSpec spec(String job) {
    return submitted.get(job);
  }

  void submits(JobSpec job) {
    submitted.put(job.id(), job);
    submittedAt.putIfAbsent(job.id(), sim.nowMicros);
  }

  /** The first task of a job has its image, or all of a gang. */
  void begins(String job) {
    begunAt.putIfAbsent(job, sim.nowMicros);
  }

  void asksToCancel(String job) {
    askedToCancel.add(job);
  }

  /** A task has its image on the machine. */
  void taskStarts(TaskId task, SimWorker machine) {
    starts++;
    Long told = toldCancelled.get(task.job());
    if (told != null && sim.nowMicros - told > deployment.workers().cancelMicros()) {
      breaks("ran_cancelled", task + " starts on " + machine.id);
    }
    SimWorker other = onMachine.put(task, machine);
    if (other != null && other != machine) {
      breaks("ran_twice", task + " on " + machine.id + " while on " + other.id);
    }
    String named = placeOf.apply(task);
    if (!machine.id.equals(named)) {
      breaks(
          "not_written_ahead", task + " starts on " + machine.id + ", and the log names " + named);
    }
    JobSpec job = submitted.get(task.job());
    if (job.kind() != JobKind.GANG) {
      begins(job.id());
    }
    if ((job.types() != null && !job.types().contains(machine.type))
        || (job.zone() != null && !job.zone().equals(machine.zone))
        || (machine.spot && !job.spotAllowed())) {
      breaks("wrong_place", task + " on " + machine.id);
    }
    int sameZone = 0;
    for (Map.Entry<TaskId, SimWorker> entry : onMachine.entrySet()) {
      if (entry.getKey().job().equals(task.job())) {
        if (entry.getValue().zone.equals(machine.zone)) {
          sameZone++;
        } else if (job.oneZone()) {
          breaks("wrong_place", task + " in a second zone");
        }
      }
    }
    if (sameZone > job.mostPerZone()) {
      breaks("wrong_place", task + " is one too many in " + machine.zone);
    }
    Resources usage = usage(job.team(), onMachine.keySet());
    if (!deployment.teams().get(job.team()).allows(usage)) {
      breaks("quota", job.team() + " uses " + usage);
    }
  }

  void taskComes(TaskId task, SimWorker machine) {
    held.put(task, machine);
    Long at = stopped.remove(task);
    stoppedInVain += at != null && sim.nowMicros - at < 30 * World.SECOND ? 1 : 0;
  }

  /** A command stops a task that is active. */
  void taskStopped(TaskId task) {
    if (!askedToCancel.contains(task.job())) {
      stopped.put(task, sim.nowMicros);
    }
  }

  /** What workers have within their leases. */
  Set<TaskId> held() {
    return held.keySet();
  }

  /** The jobs whose users were told before the moment that they are accepted. */
  List<String> acceptedBefore(long micros) {
    return acceptedAt.entrySet().stream()
        .filter(job -> job.getValue() < micros)
        .map(Map.Entry::getKey)
        .toList();
  }

  /** How many tasks of jobs whose users were told of a cancellation are on a machine. */
  long cancelledRunning() {
    return onMachine.keySet().stream()
        .filter(task -> toldCancelled.containsKey(task.job()))
        .count();
  }

  /** How many jobs have completed some of their tasks and not all. */
  long halfDone() {
    return completed.entrySet().stream()
        .filter(job -> job.getValue().size() < submitted.get(job.getKey()).tasks())
        .count();
  }

  /** How many tasks are on machines. */
  int onMachines() {
    return onMachine.size();
  }

  /** Its tasks are wanted: nobody has asked to cancel it, and it is not done. */
  boolean isLive(String job) {
    return accepted.contains(job) && !askedToCancel.contains(job) && !isDone(job);
  }

  void taskGoes(TaskId task, SimWorker machine) {
    held.remove(task, machine);
  }

  /** The machine whose worker has the task within its lease, or null. */
  String holderOf(TaskId task) {
    SimWorker holder = held.get(task);
    return holder == null || holder.leaseOver() ? null : holder.id;
  }

  void taskEnds(TaskId task, SimWorker machine) {
    onMachine.remove(task, machine);
    slowestEndMicros =
        Math.max(
            slowestEndMicros,
            sim.nowMicros - toldCancelled.getOrDefault(task.job(), sim.nowMicros));
  }

  /** A worker is told to forget a task that is done. */
  void taskForgotten(TaskId task, SimWorker machine) {
    if (!keepsDone.test(task)) {
      breaks("forgotten_early", task + " on " + machine.id);
    }
  }

  void taskCompletes(TaskId task) {
    if (completed.computeIfAbsent(task.job(), job -> new HashSet<>()).add(task.index())
        && isDone(task.job())) {
      onEnd.accept(task.job());
    }
  }

  private boolean isDone(String job) {
    return completed.getOrDefault(job, Set.of()).size() == submitted.get(job).tasks();
  }

  /** A request that must be refused: the job can't run, or lacks a field. */
  void toldOfWrong(String request, int status) {
    if (status == 200 || status == 201) {
      breaks("accepted_wrong", request + " got " + status);
    }
  }

  long tasksOn(SimWorker machine) {
    return onMachine.values().stream().filter(machine::equals).count();
  }

  boolean isCompleted(TaskId task) {
    return completed.getOrDefault(task.job(), Set.of()).contains(task.index());
  }

  /**
   * What a user read in an answer about a job; one to a question asked earlier may well be older.
   */
  void told(String job, int status, String state, boolean submission, long askedMicros) {
    if ((status == 404 && accepted.contains(job))
        || (submission && (status == 400 || status == 422) && accepted.contains(job))) {
      breaks("forgotten", job + " got " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!submitted.containsKey(job)) {
      breaks("invented", job);
      return;
    }
    boolean news = accepted.add(job);
    answeredAt.put(job, sim.nowMicros);
    acceptedAt.putIfAbsent(job, sim.nowMicros);
    boolean done = state.equals("done");
    boolean cancelled = state.equals("aborted");
    if ((toldDone.getOrDefault(job, Long.MAX_VALUE) < askedMicros && !done)
        || (toldCancelled.getOrDefault(job, Long.MAX_VALUE) < askedMicros && !cancelled)
        || (cancelled && !askedToCancel.contains(job))) {
      breaks("went_back", job + " called " + state);
    }
    if (done) {
      news |= toldDone.putIfAbsent(job, sim.nowMicros) == null;
      if (!isDone(job)) {
        breaks("not_done", job);
      }
    }
    if (cancelled) {
      if (toldCancelled.putIfAbsent(job, sim.nowMicros) == null) {
        news = true;
        long by = sim.nowMicros + deployment.workers().cancelMicros();
        for (int task = 0; task < submitted.get(job).tasks(); task++) {
          doomed.addLast(new Doomed(new TaskId(job, task), by));
        }
      }
    }
    if (news) {
      onNews.accept(job);
    }
  }

  /**
   * To be called each second once all troubles are over: no job is left waiting for so long while
   * its team is under its limit and a machine that fits has room; for all that a gang lacks at
   * once.
   */
  void lookWhoWaits(List<SimWorker> machines) {
    for (String id : accepted) {
      JobSpec job = submitted.get(id);
      List<TaskId> waiting =
          IntStream.range(0, job.tasks())
              .mapToObj(index -> new TaskId(id, index))
              .filter(task -> holderOf(task) == null && !isCompleted(task))
              .toList();
      int wanted = job.kind() == JobKind.GANG ? waiting.size() : 1;
      if (waiting.isEmpty()
          || !isLive(id)
          || mistaken.contains(id)
          || !hasRoom(job, wanted, machines)) {
        roomSince.remove(id);
      } else if (sim.nowMicros - roomSince.computeIfAbsent(id, one -> sim.nowMicros)
          > LEFT_WAITING_MICROS) {
        breaks("left_waiting", waiting.size() + " tasks of " + job);
        roomSince.put(id, Long.MAX_VALUE / 2);
      }
    }
  }

  private boolean hasRoom(JobSpec job, int wanted, List<SimWorker> machines) {
    Resources usage = usage(job.team(), held.keySet()).plus(job.perTask().times(wanted));
    Map<String, Integer> inZones = new HashMap<>();
    held.forEach(
        (task, machine) -> {
          if (task.job().equals(job.id())) {
            inZones.merge(machine.zone, 1, Integer::sum);
          }
        });
    Map<String, Integer> room = new HashMap<>();
    for (SimWorker machine : machines) {
      if ((job.types() == null || job.types().contains(machine.type))
          && (job.zone() == null || job.zone().equals(machine.zone))
          && (!machine.spot || job.spotAllowed())
          && (!job.oneZone() || inZones.isEmpty() || inZones.containsKey(machine.zone))) {
        room.merge(machine.zone, (int) job.perTask().timesIn(machine.free()), Integer::sum);
      }
    }
    room.replaceAll(
        (zone, tasks) -> Math.min(tasks, job.mostPerZone() - inZones.getOrDefault(zone, 0)));
    int most =
        job.oneZone()
            ? room.values().stream().max(Integer::compare).orElse(0)
            : room.values().stream().mapToInt(Integer::intValue).sum();
    return most >= wanted && deployment.teams().get(job.team()).allows(usage);
  }

  /** How many tasks of live jobs no worker has. */
  int waiting() {
    return accepted.stream()
        .filter(this::isLive)
        .mapToInt(
            job ->
                (int)
                    IntStream.range(0, submitted.get(job).tasks())
                        .mapToObj(index -> new TaskId(job, index))
                        .filter(task -> !held.containsKey(task) && !isCompleted(task))
                        .count())
        .sum();
  }

  /** The machines that have tasks of the job. */
  Set<SimWorker> machinesOf(String job) {
    Set<SimWorker> machines = new LinkedHashSet<>();
    onMachine.forEach(
        (task, machine) -> {
          if (task.job().equals(job)) {
            machines.add(machine);
          }
        });
    return machines;
  }

  /**
   * Whether nothing of the least size that its jobs want fits under the team's limit beside what
   * its workers have.
   */
  boolean atLimit(String team, Resources least) {
    return !deployment.teams().get(team).allows(usage(team, held.keySet()).plus(least));
  }

  /** What those of the tasks take that are of the team. */
  private Resources usage(String team, Set<TaskId> tasks) {
    return tasks.stream()
        .map(task -> submitted.get(task.job()))
        .filter(job -> job.team().equals(team))
        .map(JobSpec::perTask)
        .reduce(Resources.NONE, Resources::plus);
  }

  /** To be called after each step. */
  void check() {
    while (!doomed.isEmpty()) {
      Doomed next = doomed.peekFirst();
      if (sim.nowMicros <= next.byMicros()) {
        return;
      }
      doomed.pollFirst();
      SimWorker machine = onMachine.get(next.task());
      if (machine != null) {
        breaks("ran_cancelled", next.task() + " on " + machine.id);
      }
    }
  }

  /**
   * What is checked at the end of a day, once everybody has been asking for longer than the time
   * that makes a job forgotten: each accepted job has been answered about, finished and cancelled
   * ones too; and of each class, of each team, and of the largest jobs of each class (the tenth
   * that takes most processors, three at least) half was served. An array is served by its end,
   * what else there is by its beginning; the largest have to begin in time besides.
   */
  void endOfDay() {
    for (String job : accepted) {
      if (sim.nowMicros - answeredAt.get(job) > FORGOTTEN_MICROS) {
        breaks("forgotten", job + " was last answered at " + answeredAt.get(job) / 1e6 + " s");
      }
    }
    List<JobSpec> wanted =
        submitted.values().stream()
            .filter(
                job ->
                    accepted.contains(job.id())
                        && (!askedToCancel.contains(job.id()) || begunAt.containsKey(job.id())))
            .toList();
    Map<String, List<JobSpec>> groups = new TreeMap<>();
    for (JobSpec job : wanted) {
      groups.computeIfAbsent("class " + job.jobClass(), name -> new ArrayList<>()).add(job);
      groups.computeIfAbsent("team " + job.team(), name -> new ArrayList<>()).add(job);
    }
    groups.forEach((name, jobs) -> halfServed(name, jobs, this::served));
    groups.forEach(
        (name, jobs) -> {
          if (name.startsWith("class ")) {
            List<JobSpec> bySize = new ArrayList<>(jobs);
            bySize.sort(Comparator.comparingLong(job -> -job.perTask().milliCpus() * job.tasks()));
            halfServed(
                "largest of " + name,
                bySize.subList(0, Math.min(jobs.size(), Math.max(3, jobs.size() / 10))),
                job ->
                    served(job)
                        && begunAt.get(job.id()) - submittedAt.get(job.id())
                            <= LARGEST_BEGIN_MICROS);
          }
        });
  }

  private void halfServed(String name, List<JobSpec> jobs, Predicate<JobSpec> test) {
    long served = jobs.stream().filter(test).count();
    if (2 * served < jobs.size()) {
      breaks("unserved", served + " of " + jobs.size() + " of " + name);
    }
  }

  private boolean served(JobSpec job) {
    return begunAt.containsKey(job.id())
        && (job.kind() != JobKind.ARRAY
            || mistaken.contains(job.id())
            || askedToCancel.contains(job.id())
            || isDone(job.id()));
  }

  boolean finished(String job) {
    return toldDone.containsKey(job) || toldCancelled.containsKey(job);
  }

  int finishedCount() {
    return toldDone.size() + toldCancelled.size();
  }
}
