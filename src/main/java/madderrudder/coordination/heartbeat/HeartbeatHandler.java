package madderrudder.coordination.heartbeat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.reconciliation.TaskDecision;
import madderrudder.coordination.reconciliation.TaskDecision.Verdict;
import madderrudder.coordination.reconciliation.TaskFacts;
import madderrudder.coordination.reconciliation.TaskFacts.DesiredState;
import madderrudder.coordination.reconciliation.TaskFacts.GangState;
import madderrudder.coordination.reconciliation.TaskFacts.RecordOwner;
import madderrudder.coordination.reconciliation.TaskFacts.ReportedState;
import madderrudder.coordination.reconciliation.TaskReconciler;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;
import madderrudder.protocol.WorkerCodec;
import madderrudder.protocol.WorkerCommand;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Brings what workers report and what is wished of them together. Starts go out only for durable
 * records; a record goes only when the worker can no longer come to have the task.
 */
public final class HeartbeatHandler {
  private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
  private static final long DIRECT_MICROS = 2_500_000;
  private static final long DIRECT_PAUSE_MICROS = 10_000_000;

  /** Errors so far apart have nothing to do with one another. */
  private static final long FAULT_MICROS = 120_000_000;

  /**
   * A machine is passed over for so long: nobody is to wait for 90 s beside its room, and one more
   * error tells.
   */
  private static final long PASSED_OVER_MICROS = 60_000_000;

  private static final long STOP_AGAIN_MICROS = 1_000_000;

  /** The time within which a worker heeds an answer. */
  private static final long ANSWER_MICROS = 4_000_000;

  /**
   * Each takes some 110 bytes, and what a worker is told in one line, or takes as a request, 64 KiB
   * at most.
   */
  private static final int MOST_ORDERS = 400;

  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final JobRegistry jobs;
  private final ScaleOutController scaleOut;
  private final Runnable onRoom;
  private final Predicate<Job> undecided;

  /**
   * {@code undecided}: what comes before the job is not known yet, so that nothing of it is to be
   * started anew.
   */
  public HeartbeatHandler(
      LeaderTerm term,
      MachineRegistry machines,
      JobRegistry jobs,
      ScaleOutController scaleOut,
      Runnable onRoom,
      Predicate<Job> undecided) {
    this.term = term;
    this.machines = machines;
    this.jobs = jobs;
    this.scaleOut = scaleOut;
    this.onRoom = onRoom;
    this.undecided = undecided;
  }

  /** What a report is worth. */
  public enum Worth {
    /** It says something new. */
    NEW,
    /**
     * A direct command's answer has overtaken it: it says nothing new, and its worker waits for an
     * answer.
     */
    OVERTAKEN,
    /** Its worker has gone on since, and heeds no answer to it. */
    LATE
  }

  /** Takes a report in. */
  public Worth take(Heartbeat report) {
    Machine machine = term.cluster.machines.get(report.machine());
    if (machine == null) {
      if (machines.wasRemoved(report.machine())) {
        return Worth.LATE;
      }
      machine =
          machines.add(
              report.machine(),
              report.type(),
              report.zone(),
              report.spot(),
              scaleOut.ownedStillOpen(),
              term.scheduler.wallMicros());
      LOG.info(
          "{} reports ({} {}{}), {}",
          machine.id,
          report.type(),
          report.zone(),
          report.spot() ? " spot" : "",
          machine.owned ? "owned" : "rented");
      machines.save(machine);
      // It may have been returned long ago, and this be a late copy: nothing goes there before its
      // worker has answered.
      if (!machine.owned) {
        expectAcknowledgementUnlessSeen(machine, report, term.scheduler.nowMicros());
      }
    } else if (machine.reported && !report.newerThan(machine.session, machine.seq)) {
      return old(machine, report);
    }
    long now = term.scheduler.nowMicros();
    if (machine.reported && report.session() > machine.session) {
      newSession(machine);
      machine.expectAcknowledgement(now);
    } else if (machine.reported && machine.answeredInTerm) {
      // The answer to a report before carried this term's token, and did not reach it.
      expectAcknowledgementUnlessSeen(machine, report, machine.lastHeardMicros);
    }
    if (machine.acknowledges(report.token())) {
      LOG.debug("answers reach {}", machine.id);
    }
    boolean first = !machine.reported;
    if (first || machine.leaseExpired) {
      machine.idleSinceMicros = now;
      scaleOut.machineUp(machine);
      LOG.info("{} is here", machine.id);
    }
    machine.reported = true;
    machine.leaseExpired = false;
    machine.failed = false;
    machine.session = report.session();
    machine.seq = report.seq();
    machine.token = report.token();
    machine.reportedInTerm |= FencingToken.term(report.token()) >= term.term;
    machine.heartbeatSeq = report.seq();
    machine.heartbeatMicros = now;
    machine.addr = report.addr().isEmpty() ? machine.addr : report.addr();
    machine.reclaimMicros =
        report.reclaimNoticeMicros() < 0 ? -1 : now + report.reclaimNoticeMicros();
    boolean room = apply(machine, report, now);
    room |= vanish(machine);
    if (room || first) {
      onRoom.run();
    }
    return Worth.NEW;
  }

  /** Takes in a report that was answered while the state was being read. */
  public void takeAnswered(Heartbeat report) {
    take(report);
    Machine machine = term.cluster.machines.get(report.machine());
    if (machine != null) {
      machine.answeredInTerm = true;
    }
  }

  private void expectAcknowledgementUnlessSeen(
      Machine machine, Heartbeat report, long sinceMicros) {
    if (FencingToken.term(report.token()) < term.term) {
      machine.expectAcknowledgement(sinceMicros);
    }
  }

  /**
   * A worker has one report under way at a time, and drops what it is answered after four seconds:
   * an answer to an older one than the last it has sent by itself reaches nobody, and must not be
   * counted for its lease.
   */
  private Worth old(Machine machine, Heartbeat report) {
    boolean last =
        report.session() == machine.session
            && (report.seq() > machine.heartbeatSeq
                || (report.seq() == machine.heartbeatSeq
                    && term.scheduler.nowMicros() - machine.heartbeatMicros < ANSWER_MICROS));
    if (!last) {
      return Worth.LATE;
    }
    if (report.seq() > machine.heartbeatSeq) {
      machine.heartbeatSeq = report.seq();
      machine.heartbeatMicros = term.scheduler.nowMicros();
    }
    return Worth.OVERTAKEN;
  }

  /**
   * A machine that has not heard anything for a lease, though it reports, has dropped what it had
   * if its reports are fresh; if they are late copies, no answer to them reaches anybody. Either
   * way nothing is lost by giving none, and once none was given for a lease, what earlier leaders
   * have placed there is surely gone: its worker can't show that by this term's token.
   */
  public boolean withholds(Heartbeat report) {
    Machine machine = term.cluster.machines.get(report.machine());
    return machine != null
        && !machine.empty()
        && machine.unacknowledgedFor(term.scheduler.nowMicros(), term.safety.leaseMicros());
  }

  /**
   * The worker's lease ran out in between: it forgot what this leader had started, and old commands
   * no longer fit. What an earlier leader started may belong to the new session: both reports may
   * be older than that, held on their way. Such tasks once were taken for gone and ran twice; they
   * go only with a report that knows this term.
   */
  private void newSession(Machine machine) {
    LOG.info("{} begins a new session", machine.id);
    machines.releaseOwn(machine);
    machine.heartbeatSeq = -1;
  }

  /** Follows the states of the tasks that the worker has; true if room came free. */
  private boolean apply(Machine machine, Heartbeat report, long now) {
    boolean room = !machine.orphanTasks.isEmpty();
    List<Machine.OrphanTask> orphanTasks = List.of();
    for (TaskStatus task : report.tasks()) {
      Machine.TaskAttempt key = new Machine.TaskAttempt(task.task(), task.attempt());
      Assignment assignment = machine.assignments.get(key);
      if (assignment != null) {
        assignment.reportedSeq = report.seq();
      }
      if (assignment == null) {
        if (task.phase() != Phase.EXITED) {
          orphanTasks = orphanTasks.isEmpty() ? new ArrayList<>() : orphanTasks;
          orphanTasks.add(stray(key));
        }
      } else if (task.phase() == Phase.EXITED) {
        room |= ended(assignment, task, report.token()) && exited(assignment, task, now);
      } else {
        progressed(assignment, task.phase(), now);
      }
    }
    if (room || !orphanTasks.isEmpty()) {
      term.cluster.orphanTasks(machine, orphanTasks);
    }
    return room;
  }

  /**
   * Whether the exit is to be recorded: an earlier leader's start of the same attempt may have come
   * after it.
   */
  private boolean ended(Assignment assignment, TaskStatus task, long token) {
    ReportedState told =
        task.exitReason() == ExitReason.DONE ? ReportedState.COMPLETED : ReportedState.EXITED;
    boolean mayCome = assignment.inherited && FencingToken.term(token) < term.term;
    Verdict verdict =
        TaskReconciler.of(
                new TaskFacts(
                    assignment.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
                    wish(assignment),
                    told,
                    mayCome,
                    true,
                    assignment.durable,
                    mates(assignment.job)))
            .verdict();
    return verdict == Verdict.RECORD_DONE || verdict == Verdict.RECORD_EXIT;
  }

  private Machine.OrphanTask stray(Machine.TaskAttempt key) {
    Job job = term.cluster.jobs.get(key.task().job());
    return new Machine.OrphanTask(
        key, job == null ? "" : job.spec.team(), job == null ? Resources.NONE : job.spec.perTask());
  }

  private void progressed(Assignment assignment, Phase phase, long now) {
    if (phase != Phase.FETCHING && assignment.phase != phase && assignment.job != null) {
      machines.recordImageUse(assignment.machine, assignment.job.spec);
    }
    if (phase == Phase.RUNNING && assignment.runningMicros < 0) {
      assignment.runningMicros = now;
      started(assignment, now);
      if (assignment.job != null) {
        assignment.job.gangStarted = true;
      }
    }
    assignment.phase = phase;
  }

  private void started(Assignment assignment, long now) {
    if (assignment.inherited) {
      return;
    }
    term.metrics.record(Timing.STARTING, assignment.waitedMicros + now - assignment.placedMicros);
    if (LOG.isDebugEnabled()) {
      LOG.debug(
          "{} of {} runs on {} ({} {}): waited {} ms, recorded {} ms, told {} ms, fetched {} ms{}",
          assignment.task,
          assignment.job == null ? "?" : assignment.job.spec.jobClass(),
          assignment.machine.id,
          assignment.machine.type.name(),
          assignment.machine.spot ? "spot" : assignment.machine.owned ? "owned" : "steady",
          assignment.waitedMicros / 1000,
          (assignment.durableMicros - assignment.placedMicros) / 1000,
          (assignment.toldMicros - assignment.durableMicros) / 1000,
          (now - assignment.toldMicros) / 1000,
          assignment.hadImage ? "" : ", no image");
    }
  }

  private boolean exited(Assignment assignment, TaskStatus task, long now) {
    if (assignment.completed) {
      return false;
    }
    assignment.phase = Phase.EXITED;
    Machine machine = assignment.machine;
    Job job = assignment.job;
    LOG.debug(
        "{} attempt {} exited on {}: {}",
        task.task(),
        task.attempt(),
        machine.id,
        task.exitReason());
    if (task.exitReason() == ExitReason.DONE) {
      if (job != null) {
        machines.recordImageUse(machine, job.spec);
        ran(assignment, now, !job.mayHaveResumed(task.task().index()));
      }
      jobs.completed(assignment);
      return true;
    }
    if (job != null
        && (task.exitReason() == ExitReason.STOPPED
            || task.exitReason() == ExitReason.PEERS_GONE)) {
      ran(assignment, now, false);
      job.gangStarted |= task.exitReason() == ExitReason.PEERS_GONE;
    }
    machines.release(assignment);
    if (job != null && !job.ended) {
      switch (task.exitReason()) {
        case ERROR -> failed(job, task, machine, now);
        case INSUFFICIENT_RESOURCES, OTHER_ATTEMPT, UNKNOWN ->
            job.refused(task.task().index(), now);
        default -> {}
      }
    }
    return true;
  }

  /**
   * A mistake in a job is told apart from a fault of a machine by who else fails: on several
   * machines, or of several jobs.
   */
  private void failed(Job job, TaskStatus task, Machine machine, long now) {
    boolean before = job.failing();
    job.failed(task.task().index(), machine.id, now);
    if (!job.failing()) {
      machine.recordFailure(job.spec.id(), now, FAULT_MICROS, PASSED_OVER_MICROS);
    } else if (!before) {
      LOG.info("{} fails wherever it runs: one task at a time is tried from now on", job.spec.id());
      jobs.markFailing(job);
      for (String id : job.failedOn()) {
        Machine blamed = term.cluster.machines.get(id);
        if (blamed != null) {
          blamed.clearFailure(job.spec.id());
        }
      }
    }
  }

  /**
   * A task has run: all of it if {@code complete}, and else at least so long. What earlier leaders
   * started began at a time that is not known here.
   */
  private void ran(Assignment assignment, long now, boolean complete) {
    if (assignment.runningMicros >= 0 && !assignment.inherited) {
      TaskRun run =
          new TaskRun(
              assignment.job.profile,
              assignment.task.index(),
              assignment.attempt,
              assignment.machine.type.name(),
              assignment.machine.id,
              assignment.job.spec.estimateMicros(),
              now - assignment.runningMicros,
              complete);
      term.cluster.runTimes.ran(run);
      term.history.add(term.scheduler.wallMicros(), run);
    }
  }

  /**
   * Drops records of tasks that the worker neither has nor can still be told to start. A start that
   * went with the answer to an earlier report and does not show has not reached it.
   */
  private boolean vanish(Machine machine) {
    List<Assignment> gone = new ArrayList<>();
    for (Assignment assignment : machine.assignments.values()) {
      if (!assignment.reportedByWorker()
          && assignment.startSeq >= 0
          && assignment.startSeq < machine.seq) {
        machine.expectAcknowledgement(term.scheduler.nowMicros());
      }
      if (finding(assignment).verdict() == Verdict.GONE) {
        gone.add(assignment);
      }
    }
    gone.forEach(machines::release);
    return !gone.isEmpty();
  }

  private TaskDecision finding(Assignment assignment) {
    return TaskReconciler.of(facts(assignment));
  }

  private TaskFacts facts(Assignment assignment) {
    Machine machine = assignment.machine;
    ReportedState told =
        !machine.reported
            ? ReportedState.UNREPORTED
            : assignment.reportedSeq == machine.seq ? ReportedState.PRESENT : ReportedState.ABSENT;
    // A worker that has seen this term's token takes no command of an earlier leader any more.
    // Answers to reports
    // are dropped once the next report is under way, so a newer one settles an unseen start.
    boolean mayCome =
        assignment.directToken >= machine.token
            || assignment.startSeq >= machine.seq
            || (assignment.inherited && FencingToken.term(machine.token) < term.term);
    return new TaskFacts(
        assignment.inherited ? RecordOwner.EARLIER : RecordOwner.OWN,
        wish(assignment),
        told,
        mayCome,
        assignment.reportedByWorker(),
        assignment.durable,
        mates(assignment.job));
  }

  /**
   * What a lease that ended has stopped needs no order to stay so, if its room is wanted for what
   * comes before it.
   */
  private DesiredState wish(Assignment assignment) {
    if (assignment.completed) {
      return DesiredState.KEEP_COMPLETED;
    }
    if (assignment.evicting || assignment.job == null || assignment.job.ended) {
      return DesiredState.REMOVE;
    }
    return assignment.inherited && !assignment.reportedByWorker() && undecided.test(assignment.job)
        ? DesiredState.MAY_RUN
        : DesiredState.RUN;
  }

  private static GangState mates(Job job) {
    if (job == null || job.spec.kind() != JobKind.GANG) {
      return GangState.GATHERING;
    }
    return job.gangStarted
        ? GangState.STARTED
        : job.gangMachinesHeard() ? GangState.GATHERING : GangState.UNKNOWN;
  }

  /** What a worker has that no record names there. */
  private static TaskDecision unrecorded(TaskStatus task) {
    ReportedState told =
        task.phase() != Phase.EXITED
            ? ReportedState.PRESENT
            : task.exitReason() == ExitReason.DONE ? ReportedState.COMPLETED : ReportedState.EXITED;
    return TaskReconciler.of(
        new TaskFacts(
            RecordOwner.NONE, DesiredState.REMOVE, told, false, true, true, GangState.GATHERING));
  }

  /** Whether the machine waits for a record to become durable that an answer could then carry. */
  public boolean unsettled(String id) {
    Machine machine = term.cluster.machines.get(id);
    if (machine != null) {
      for (Assignment assignment : machine.assignments.values()) {
        if (!assignment.durable && !assignment.evicting) {
          return true;
        }
      }
    }
    return false;
  }

  /**
   * A report that a direct command's answer has overtaken is answered too, and that renews the
   * worker's lease. Such answers once were not counted, so that the machine was taken for empty up
   * to a report's interval before it was; and they carried no stops, so that what was cancelled
   * lived on with them.
   */
  public List<WorkerCommand> ordersForOvertaken(Heartbeat report) {
    Machine machine = term.cluster.machines.get(report.machine());
    if (machine == null) {
      return List.of();
    }
    machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, term.scheduler.nowMicros());
    machine.answeredInTerm = true;
    return stops(machine, report);
  }

  /**
   * Stops for all that the report shows and that shall not be there. They name attempts, and are
   * right however old the report is; no answer that renews a lease goes without them.
   */
  private List<WorkerCommand> stops(Machine machine, Heartbeat report) {
    List<WorkerCommand> stops = new ArrayList<>();
    for (TaskStatus task : report.tasks()) {
      Assignment assignment =
          machine.assignments.get(new Machine.TaskAttempt(task.task(), task.attempt()));
      if (task.phase() != Phase.EXITED && assignment == null) {
        stops.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
      } else if (task.phase() != Phase.EXITED && wish(assignment) == DesiredState.REMOVE) {
        stops.add(stop(assignment, term.scheduler.nowMicros()));
      }
    }
    return stops;
  }

  /** The commands for the report's answer. To be called when the answer is sent. */
  public List<WorkerCommand> ordersFor(Heartbeat report) {
    Machine machine = term.cluster.machines.get(report.machine());
    if (machine == null) {
      return List.of();
    }
    long now = term.scheduler.nowMicros();
    machine.lastAnsweredMicros = Math.max(machine.lastAnsweredMicros, now);
    machine.lastHeardMicros = now;
    machine.answeredInTerm = true;
    if (machine.session != report.session() || machine.seq != report.seq()) {
      return stops(machine, report);
    }
    List<WorkerCommand> orders = new ArrayList<>();
    boolean raiseToken = false;
    for (TaskStatus task : report.tasks()) {
      Machine.TaskAttempt key = new Machine.TaskAttempt(task.task(), task.attempt());
      Assignment assignment = machine.assignments.get(key);
      if (assignment == null) {
        switch (unrecorded(task).verdict()) {
          case FORGET -> {
            orders.add(WorkerCommand.reap(key.task(), key.attempt()));
            raiseToken = true;
          }
          case STOP -> orders.add(WorkerCommand.stop(key.task(), key.attempt(), 0));
          default -> {}
        }
      } else if (finding(assignment).verdict() == Verdict.STOP) {
        orders.add(stop(assignment, now));
      }
    }
    for (Assignment assignment : machine.assignments.values()) {
      TaskDecision finding = finding(assignment);
      raiseToken |= finding.verdict() == Verdict.AWAIT && assignment.directToken >= machine.token;
      if (orders.size() < MOST_ORDERS && startable(assignment, finding)) {
        orders.add(WorkerCommand.start(assignment.task, assignment.attempt));
        if (!assignment.startSent) {
          assignment.toldMicros = now;
        }
        assignment.startSent = true;
        assignment.startSeq = report.seq();
      }
    }
    // A copy of a direct start could start again what its worker has forgotten: it must be too old
    // by then. What waits for
    // a direct start of unknown fate is settled in the same way.
    if (raiseToken && machine.directToken >= machine.issuedToken) {
      machine.raiseToken();
    }
    return orders;
  }

  /** The token that goes with what the worker is told now. */
  public long token(Heartbeat report) {
    Machine machine = term.cluster.machines.get(report.machine());
    return machine == null
        ? FencingToken.echo(report.token(), term.term)
        : token(machine, report.token());
  }

  private long token(Machine machine, long seen) {
    machine.issuedToken = Math.max(machine.issuedToken, FencingToken.echo(seen, term.term));
    return machine.issuedToken;
  }

  private boolean startable(Assignment assignment, TaskDecision finding) {
    return finding.verdict() == Verdict.START
        && !assignment.machine.retiring
        && term.election.holdsLease();
  }

  private WorkerCommand stop(Assignment assignment, long now) {
    if (assignment.stopSentMicros < 0) {
      assignment.stopSentMicros = now;
    }
    Job job = assignment.job;
    boolean saves = job != null && !job.ended && job.spec.checkpointIntervalMicros() > 0;
    long grace =
        saves ? job.spec.checkpointSaveMicros() + term.deployment.workers().gangPeerMicros() : 0;
    return WorkerCommand.stop(assignment.task, assignment.attempt, grace);
  }

  /**
   * Sends what can't wait for the next report straight to the worker; whether there was anything.
   */
  public boolean push(Machine machine) {
    long now = term.scheduler.nowMicros();
    if (machine.directInFlight
        || machine.addr.isEmpty()
        || now < machine.directBlockedUntilMicros
        || !machine.usable(now, term.deployment.workers().reportMicros())
        || term.closed()) {
      return false;
    }
    List<WorkerCommand> orders = new ArrayList<>(2);
    List<Assignment> starts = new ArrayList<>(2);
    for (Assignment assignment : machine.assignments.values()) {
      if (orders.size() >= MOST_ORDERS) {
        break;
      }
      if (!assignment.startSent
          && assignment.reportedSeq != machine.seq
          && FencingToken.canRise(machine.issuedToken)
          && startable(assignment, finding(assignment))) {
        orders.add(WorkerCommand.start(assignment.task, assignment.attempt));
        starts.add(assignment);
      } else if (assignment.evicting
          && assignment.reportedByWorker()
          && !assignment.completed
          && assignment.phase != Phase.EXITED
          && (assignment.stopSentMicros < 0
              || now - assignment.stopSentMicros > STOP_AGAIN_MICROS)) {
        assignment.stopSentMicros = now;
        orders.add(stop(assignment, now));
      }
    }
    if (orders.isEmpty() || !madderrudder.transport.Addresses.valid(machine.addr)) {
      return false;
    }
    long token = token(machine, machine.token);
    for (Assignment start : starts) {
      start.startSent = true;
      start.toldMicros = now;
      start.directToken = token;
      machine.directToken = token;
    }
    machine.directInFlight = true;
    long session = machine.session;
    HttpRequest request =
        HttpRequest.post("/orders", WorkerCodec.directCommands(token, session, orders));
    term.calls.call(
        machine.addr,
        request,
        DIRECT_MICROS,
        response -> {
          machine.directInFlight = false;
          if (!term.closed()) {
            answered(machine, session, starts, response);
          }
        });
    return true;
  }

  private void answered(
      Machine machine, long session, List<Assignment> starts, HttpResponse response) {
    int status = response.status();
    if (status == HttpResponse.NOT_SENT || status == 409 || status == 400) {
      starts.forEach(Assignment::startRefused);
    }
    boolean overtaken = false;
    if (status == 200 || status == 409) {
      try {
        Heartbeat report = WorkerCodec.readHeartbeat(response.body());
        overtaken = FencingToken.term(report.token()) == term.term && report.session() == session;
        if (FencingToken.term(report.token()) > term.term) {
          term.election.heardToken(report.token());
        } else if (status == 200 && report.machine().equals(machine.id)) {
          settle(machine, session, starts, report);
        }
      } catch (MalformedMessageException e) {
        LOG.info("{} answered commands unreadably: {}", machine.id, e.getMessage());
      }
    }
    // An answer to a report that carried a higher token may have been quicker; the next command
    // carries that too.
    if (status != 200 && !overtaken) {
      machine.directBlockedUntilMicros = term.scheduler.nowMicros() + DIRECT_PAUSE_MICROS;
    }
  }

  /** The worker's state after direct commands: it tells what is there, never what is not. */
  private void settle(Machine machine, long session, List<Assignment> starts, Heartbeat report) {
    if (machine.session != session || !report.newerThan(machine.session, machine.seq)) {
      return;
    }
    machine.seq = report.seq();
    machine.token = Math.max(machine.token, report.token());
    starts.forEach(start -> start.startSeq = Math.max(start.startSeq, report.seq()));
    if (apply(machine, report, term.scheduler.nowMicros())) {
      onRoom.run();
    }
  }

  /** Gangs that lost a task, or whose stop has begun, go as a whole. */
  public void sweepGangs() {
    for (Job job : term.cluster.jobs.values()) {
      if (job.spec.kind() == JobKind.GANG && !job.assignments.isEmpty() && !job.complete()) {
        boolean broken =
            job.assignments.stream().anyMatch(a -> a.evicting)
                || (job.gangStarted && job.nextWaiting(0) >= 0);
        if (broken) {
          job.assignments.forEach(machines::evict);
        }
      }
    }
  }
}
