package madderrudder.coordination.leader;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import madderrudder.coordination.heartbeat.HeartbeatHandler;
import madderrudder.coordination.membership.TermAcknowledgements;
import madderrudder.coordination.policy.SafetyBounds;
import madderrudder.coordination.reconciliation.ClusterCoverage;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderDependencies;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.registry.StoredStateReader;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.scheduling.Demand;
import madderrudder.coordination.scheduling.Placement;
import madderrudder.coordination.scheduling.Placer;
import madderrudder.coordination.scheduling.Preemption;
import madderrudder.coordination.scheduling.SpotReclaimDrain;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.ClusterSummary;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.metrics.Metrics.Timing;
import madderrudder.persistence.CommitQueue.Urgency;
import madderrudder.persistence.Keys;
import madderrudder.persistence.PendingChange;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.PeerMessage;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;
import madderrudder.protocol.Priority;
import madderrudder.protocol.StoreCodec.Write;
import madderrudder.protocol.WorkerCommand;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One term of leading: from reading what the store holds to the loss of the hold. */
public final class Leader {
  private static final Logger LOG = LoggerFactory.getLogger(Leader.class);
  private static final long TICK_MICROS = 250_000;
  private static final long SUMMARY_MICROS = 30_000_000;
  private static final long SOON_MICROS = 5_000;
  private static final int PAUSE_PER_PLAN = 4;

  /** An answer waits this long for records that become durable meanwhile. */
  private static final long ANSWER_WAIT_MICROS = 250_000;

  private static final int MOST_PROGRESS = 1_000;

  /**
   * A turn of the loop stays short, and 1,000 machines are told within ten ticks, before their next
   * reports.
   */
  private static final int MOST_PUSHES = 100;

  private static final long DEAF_SLACK_MICROS = 1_000_000;
  private static final int LEAST_HEARD = 3;

  /** What a worker is answered; null orders mean that this node may not act. */
  public record Answer(long token, List<WorkerCommand> orders) {}

  private final LeaderDependencies dependencies;
  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final JobRegistry jobs;
  private final ScaleOutController scaleOut;
  private final HeartbeatHandler heartbeats;
  private final Map<String, Waiting> waiting = new HashMap<>();

  /** The newest report of each machine that came while the store was being read. */
  private final Map<String, Heartbeat> early = new LinkedHashMap<>();

  private final TermAcknowledgements termAcknowledgements;
  private boolean ready;
  private boolean planSoon;
  private long lastPlanMicros;
  private int progressFrom;
  private final long beginMicros;

  /** Since when workers can have been answered with what is recorded. */
  private long readyMicros;

  private ClusterCoverage confidence = ClusterCoverage.FULL;
  private long heldBack;

  /** The jobs that lay within a guarantee when this leader took over. */
  private Set<Job> guaranteed = Set.of();

  private record Waiting(Heartbeat report, Consumer<Answer> answer) {}

  public Leader(LeaderDependencies dependencies, long number, long termVersion, Runnable onLost) {
    this.dependencies = dependencies;
    term = new LeaderTerm(dependencies, number, termVersion, onLost);
    termAcknowledgements = new TermAcknowledgements(number, dependencies.others());
    machines = new MachineRegistry(term);
    jobs = new JobRegistry(term, machines, this::planSoon);
    scaleOut = new ScaleOutController(term, machines, dependencies.cloud());
    heartbeats =
        new HeartbeatHandler(term, machines, jobs, scaleOut, this::planSoon, this::undecided);
    machines.onDurable(this::durable);
    beginMicros = term.scheduler.nowMicros();
  }

  public void begin() {
    long readMicros = term.scheduler.nowMicros();
    StoredStateReader.read(term, found -> loadWhenCatalogKnown(found, readMicros));
  }

  private void loadWhenCatalogKnown(StoredStateReader.Found found, long readMicros) {
    if (!dependencies.catalog().known()) {
      term.after(TICK_MICROS, () -> loadWhenCatalogKnown(found, readMicros));
      return;
    }
    term.cluster.types = dependencies.catalog().types();
    try {
      jobs.load(found, readMicros);
      machines.load(found.under(Keys.PAGES));
      term.cluster.machines.values().forEach(this::answeredEarlier);
      scaleOut.load(found);
      if (term.learned != null) {
        term.learned.load(found.under(Keys.RUN_TIMES));
        term.learned.keep();
      }
    } catch (MalformedMessageException e) {
      LOG.error("what the store holds is unreadable: {}", e.getMessage());
      term.election.stepDown("unreadable records");
      return;
    }
    dependencies.catalog().onRefresh(this::saveCatalog);
    saveCatalog();
    ready = true;
    readyMicros = term.scheduler.nowMicros();
    LOG.info(
        "term {}: took over {} jobs and {} machines",
        term.term,
        term.cluster.jobs.size(),
        term.cluster.machines.size());
    // They have been answered already; what they say is as good as that of any report that comes
    // late.
    confidence = assess();
    guaranteed = Demand.of(term.cluster, term.scheduler.wallMicros(), confidence).guaranteed();
    early.values().forEach(heartbeats::takeAnswered);
    confidence = assess();
    LOG.info(
        "term {}: the store was read in {} ms; {} of the machines that were up have been heard{}",
        term.term,
        (readyMicros - beginMicros) / 1000,
        percent(confidence.share()),
        confidence.suffices() ? "" : ", renting and stopping wait for others");
    early.clear();
    term.every(TICK_MICROS, this::tick);
    term.every(SUMMARY_MICROS, this::summarise);
  }

  private ClusterCoverage assess() {
    return ClusterCoverage.of(
        term.cluster,
        term.scheduler.nowMicros() - readyMicros,
        ClusterCoverage.patienceMicros(term.deployment.workers(), dependencies.others().size() + 1),
        term.scheduler.wallMicros());
  }

  /** Looks how good the picture is by now, until all that is expected has been heard. */
  private void look() {
    if (!confidence.complete()) {
      boolean sufficed = confidence.suffices();
      confidence = assess();
      if (!sufficed && confidence.suffices()) {
        LOG.info(
            "term {}: {} of the machines that were up have been heard after {} ms",
            term.term,
            percent(confidence.share()),
            (term.scheduler.nowMicros() - readyMicros) / 1000);
      }
    }
  }

  /**
   * Whether work of the job waits for the picture. What is of production priority or lies within a
   * guarantee is started at once where it is recorded; the rest could be stopped again for what
   * waits.
   */
  private boolean undecided(Job job) {
    return !confidence.complete()
        && !confidence.suffices(job)
        && job.spec.priority() != Priority.PRODUCTION
        && !guaranteed.contains(job);
  }

  private static String percent(double share) {
    return Math.round(100 * share) + "%";
  }

  /**
   * A machine that an earlier leader used may still be answered by that leader for a while, and its
   * worker's lease begins only after that.
   */
  private void answeredEarlier(Machine machine) {
    machine.lastAnsweredMicros += termAcknowledgements.all() ? 0 : term.safety.answerMicros();
  }

  /**
   * No machine's lease can be renewed under an earlier term any more: one that has died is known to
   * be empty a lease from now, without the time an earlier leader might have gone on.
   */
  private void othersStoodBack() {
    long now = term.scheduler.nowMicros();
    for (Machine machine : term.cluster.machines.values()) {
      if (!machine.reported) {
        machine.lastAnsweredMicros = Math.min(machine.lastAnsweredMicros, now);
      }
    }
  }

  public void end() {
    term.close();
    for (Waiting late : waiting.values()) {
      late.answer().accept(new Answer(0, null));
    }
    waiting.clear();
  }

  public boolean ready() {
    return ready;
  }

  /**
   * Reports may be answered while the hold lasts, and for a bounded time after the last news from
   * the store: long enough for workers to keep their tasks through an outage, and short enough that
   * they drop a job in time that was cancelled where this node can't see it. Before the store is
   * read nothing is known of what was cancelled, also long ago: such answers, without commands,
   * once went on for as long as the hold was extended, and are bounded now by what an earlier
   * leader has granted, as a deputy's are.
   */
  public boolean mayAnswer() {
    long now = term.scheduler.nowMicros();
    if (!ready) {
      return term.election.holdsLease() && now < dependencies.harmlessUntilMicros().getAsLong();
    }
    return now
        < Math.min(jobs.knownUpToMicros(), term.election.leaseEndMicros())
            + term.safety.answerMicros();
  }

  /** Whether a report is answered at this moment, rather than once the store is read. */
  public boolean takesReports() {
    return ready || mayAnswer();
  }

  /**
   * For how long other controllers may answer workers in this leader's stead, with no command:
   * until a worker that got their last answer drops in time whatever may have been cancelled since,
   * as in {@link #mayAnswer}; 0 for not at all. Tasks of jobs that were cancelled earlier and may
   * still be somewhere are not known to them, so that the time counts from before their users were
   * told.
   */
  public long grantMicros() {
    if (!ready || !term.policy.delegation()) {
      return 0;
    }
    long from =
        Math.min(
            term.cluster.cancellationsSettledMicros(jobs.knownUpToMicros()),
            term.election.leaseEndMicros());
    return Math.max(0, from + term.safety.answerMicros() - term.scheduler.nowMicros());
  }

  /** Those of the processes heard to whom the grant may go out at this moment. */
  public List<StampEcho> granted(List<StampEcho> heard, long grantMicros) {
    long untilMicros = term.scheduler.nowMicros() + grantMicros;
    return heard.stream().filter(echo -> term.delegation.grant(echo, untilMicros)).toList();
  }

  /** Another controller has answered machines. */
  public void heard(DelegatedRenewals answered) {
    long now = term.scheduler.nowMicros();
    for (PeerMessage.LeaseRenewal answer : answered.answers()) {
      Machine machine = term.cluster.machines.get(answer.machine());
      if (machine != null) {
        machine.lastAnsweredMicros =
            Math.max(
                machine.lastAnsweredMicros,
                now - SafetyBounds.minusClockDrift(1000L * answer.agoMillis()));
      }
    }
    term.delegation.heard(answered);
  }

  /** Another controller's word, with what it has heard of this process, or null. */
  public void heard(MembershipStatus standing, StampEcho mine) {
    if (dependencies.others().contains(standing.member())) {
      term.delegation.heard(standing, mine, term.scheduler.nowMicros());
      if (termAcknowledgements.heard(standing, mine, term.scheduler.nowMicros())) {
        othersStoodBack();
      }
    }
  }

  /** Takes a worker's report; the answer may come a little later. */
  public void report(Heartbeat report, Consumer<Answer> answer) {
    if (!mayAnswer()) {
      answer.accept(new Answer(0, null));
      return;
    }
    if (!ready) {
      Heartbeat known = early.get(report.machine());
      if (known == null || report.newerThan(known.session(), known.seq())) {
        early.put(report.machine(), report);
      }
      answer.accept(new Answer(heartbeats.token(report), List.of()));
      return;
    }
    HeartbeatHandler.Worth worth = heartbeats.take(report);
    if (worth == HeartbeatHandler.Worth.LATE || heartbeats.withholds(report)) {
      answer.accept(new Answer(0, null));
      return;
    }
    if (worth == HeartbeatHandler.Worth.OVERTAKEN) {
      answer.accept(new Answer(heartbeats.token(report), heartbeats.ordersForOvertaken(report)));
      return;
    }
    if (!heartbeats.unsettled(report.machine()) || !term.election.holdsLease()) {
      answer.accept(answer(report));
      return;
    }
    Waiting wait = new Waiting(report, answer);
    Waiting older = waiting.put(report.machine(), wait);
    if (older != null) {
      older.answer().accept(answer(older.report()));
    }
    term.after(
        ANSWER_WAIT_MICROS,
        () -> {
          if (waiting.remove(report.machine(), wait)) {
            answer.accept(answer(report));
          }
        });
  }

  private Answer answer(Heartbeat report) {
    List<WorkerCommand> orders = heartbeats.ordersFor(report);
    return new Answer(heartbeats.token(report), orders);
  }

  /** A machine's record has been written: what waited for it may go out. */
  private void durable(Machine machine) {
    Waiting wait = heartbeats.unsettled(machine.id) ? null : waiting.remove(machine.id);
    if (wait != null) {
      wait.answer().accept(answer(wait.report()));
    }
    heartbeats.push(machine);
  }

  private void tick() {
    if (mostMachinesSilent()) {
      term.election.yieldLeadership("most machines have fallen silent at once");
      return;
    }
    machines.expireSilentLeases(term.scheduler.nowMicros());
    term.cluster.types = dependencies.catalog().types();
    look();
    scaleOut.reconcileMachines(term.scheduler.nowMicros(), confidence);
    plan();
    // A stop that was not heard is repeated; what a picture that is good by now lets start is told.
    int pushes = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (pushes < MOST_PUSHES && heartbeats.push(machine)) {
        pushes++;
      }
    }
  }

  /**
   * A leader that the workers can't reach holds the lead while their leases run out. Machines
   * rarely fall silent together by themselves, so another node had better try, while the leases
   * still last. In an outage of the store nobody could, and the lead is kept.
   */
  private boolean mostMachinesSilent() {
    long limit = 2 * term.deployment.workers().reportMicros() + DEAF_SLACK_MICROS;
    int heard = 0;
    int silent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.reported && !machine.leaseExpired && !machine.retiring) {
        heard++;
        silent += term.scheduler.nowMicros() - machine.lastHeardMicros > limit ? 1 : 0;
      }
    }
    return heard >= LEAST_HEARD && 3 * silent >= 2 * heard && term.election.holdsLease();
  }

  /**
   * What happens close together is planned for at once. A round that took long is followed by a
   * longer pause, so that planning never takes more than its part of the processor, however large
   * the picture.
   */
  private void planSoon() {
    if (!planSoon) {
      planSoon = true;
      term.after(
          Math.max(SOON_MICROS, PAUSE_PER_PLAN * lastPlanMicros),
          () -> {
            if (planSoon) {
              plan();
            }
          });
    }
  }

  /** The wanted state is worked out anew from the picture, and the difference is set going. */
  private void plan() {
    planSoon = false;
    if (!ready || !term.election.holdsLease()) {
      return;
    }
    long now = term.scheduler.nowMicros();
    // A gang goes as a whole: its other tasks are told in the same round, and so can save together.
    SpotReclaimDrain.plan(term.cluster, now).forEach(machines::evict);
    heartbeats.sweepGangs();
    look();
    Demand demand = Demand.of(term.cluster, term.scheduler.wallMicros(), confidence);
    heldBack =
        confidence.complete()
            ? 0
            : demand.waiting().stream().filter(job -> !confidence.suffices(job)).count();
    if (!demand.waiting().isEmpty()) {
      for (Placement placement : Placer.plan(term.cluster, term.policy, demand, now)) {
        place(placement);
      }
      for (Assignment victim : Preemption.plan(term.cluster, term.policy, demand, now)) {
        LOG.debug("stopping {} on {} to make room", victim.task, victim.machine.id);
        machines.evict(victim);
      }
    }
    scaleOut.scaleOut(demand, now);
    machines.takeTouched().forEach(heartbeats::push);
    lastPlanMicros = term.scheduler.nowMicros() - now;
    term.metrics.record(Timing.PLANNING, lastPlanMicros);
    LOG.debug("planned for {} jobs in {} ms", demand.waiting().size(), lastPlanMicros / 1000);
  }

  private void place(Placement placement) {
    Job job = placement.job();
    long attempt = placement.attempt();
    if (job.spec.kind() == JobKind.GANG) {
      if (job.gangAttempt == 0) {
        job.gangAttempt = term.nextAttempt();
      }
      attempt = job.gangAttempt;
    } else {
      attempt = term.nextAttempt();
    }
    machines.assign(placement.machine(), job, placement.task(), attempt);
  }

  private void summarise() {
    LOG.info(
        "machines and processors in use: {}; {} tasks wait, {} changes unwritten, budget left {}",
        ClusterSummary.of(term.cluster),
        waitingTasks(),
        term.commits.backlog(),
        scaleOut.budgetLeft());
  }

  private int waitingTasks() {
    return term.cluster.jobs.values().stream().mapToInt(Job::waitingCount).sum();
  }

  /** The state of things, for operators. */
  public void writeState(JsonGenerator out) throws IOException {
    out.writeNumberField("jobs", term.cluster.jobs.size());
    out.writeNumberField("waiting_tasks", waitingTasks());
    out.writeNumberField("unwritten_changes", term.commits.backlog());
    out.writeNumberField("rentals_under_way", scaleOut.underWay());
    out.writeNumberField("budget_left", scaleOut.budgetLeft());
    out.writeStringField("machines", ClusterSummary.of(term.cluster));
    long now = term.scheduler.nowMicros();
    out.writeNumberField(
        "jobs_failing", term.cluster.jobs.values().stream().filter(Job::failing).count());
    out.writeNumberField("machines_passed_over", machines(machine -> machine.cordoned(now)));
    out.writeNumberField("machines_in_doubt", machines(Machine::unacknowledged));
    out.writeNumberField(
        "boots_late", machines(machine -> machine.booting() && !machine.bootingOnTime(now)));
    if (term.learned != null) {
      term.learned.write(out);
    }
    out.writeObjectFieldStart("heard");
    out.writeNumberField("share", confidence.share());
    out.writeBooleanField("overdue", confidence.overdue());
    out.writeNumberField("jobs_held_back", heldBack);
    writeShares(out, "zones", confidence.zones());
    writeShares(out, "types", confidence.types());
    writeShares(out, "teams", confidence.teams());
    out.writeEndObject();
  }

  private long machines(Predicate<Machine> test) {
    return term.cluster.machines.values().stream().filter(test).count();
  }

  private static void writeShares(
      JsonGenerator out, String name, Map<String, ClusterCoverage.Count> shares)
      throws IOException {
    out.writeObjectFieldStart(name);
    for (Map.Entry<String, ClusterCoverage.Count> one : shares.entrySet()) {
      out.writeNumberField(one.getKey(), one.getValue().share());
    }
    out.writeEndObject();
  }

  /** What has run after the number, for operators. */
  public void writeHistory(JsonGenerator out, long after) throws IOException {
    term.history.write(out, after);
  }

  private void saveCatalog() {
    byte[] text = dependencies.catalog().text();
    if (!term.closed() && text != null && text.length < term.deployment.state().valueBytes()) {
      term.commits.add(new CatalogChange(text), Urgency.LATER);
    }
  }

  /** How far a job has come, or null if this leader doesn't know it. */
  public JobProgress progress(String id) {
    Job job = ready ? term.cluster.jobs.get(id) : null;
    return job == null ? null : progress(job);
  }

  private static JobProgress progress(Job job) {
    return new JobProgress(job.spec.id(), job.done.cardinality(), job.runningCount());
  }

  /** The progress of a part of the jobs, a different part each time if there are many. */
  public List<JobProgress> someProgress() {
    List<JobProgress> some = new ArrayList<>();
    List<Job> all = new ArrayList<>(term.cluster.jobs.values());
    for (int i = 0; i < Math.min(MOST_PROGRESS, all.size()); i++) {
      some.add(progress(all.get((progressFrom + i) % all.size())));
    }
    progressFrom = all.size() <= MOST_PROGRESS ? 0 : (progressFrom + MOST_PROGRESS) % all.size();
    return some;
  }

  /** What this leader leaves over of its writes a second, for users. */
  public double spareWritesPerSecond(long sinceMicros) {
    return ready ? term.commits.spareWritesPerSecond(sinceMicros) : 0;
  }

  public long number() {
    return term.term;
  }

  /** Keeps the catalogue for nodes that start while the cloud is down. */
  private record CatalogChange(byte[] text) implements PendingChange {
    @Override
    public String name() {
      return Keys.CATALOG;
    }

    @Override
    public List<Write> writes() {
      return List.of(Write.put(Keys.CATALOG, text));
    }

    @Override
    public void committed() {
      LOG.debug("catalogue kept");
    }
  }
}
