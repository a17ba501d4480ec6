package madderrudder.coordination.leader;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import madderrudder.coordination.heartbeat.HeartbeatHandler;
import madderrudder.coordination.registry.JobRegistry;
import madderrudder.coordination.registry.LeaderDependencies;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.registry.MachineRegistry;
import madderrudder.coordination.scaleout.ScaleOutController;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.PeerMessage.DelegatedRenewals;
import madderrudder.protocol.PeerMessage.JobProgress;
import madderrudder.protocol.PeerMessage.MembershipStatus;
import madderrudder.protocol.PeerMessage.StampEcho;

/**
 * One term of leadership, from reading the stored state to the loss of the lease. Confined to the
 * event loop thread.
 */
public final class Leader {
  private static final long TICK_MICROS = 250_000;
  private static final long SUMMARY_MICROS = 30_000_000;

  /**
   * Direct requests per tick. A turn of the event loop stays short, and 1,000 machines are sent
   * their commands within ten ticks, before their next heartbeats.
   */
  private static final int MAX_DIRECT_PER_TICK = 100;

  private static final long SILENCE_SLACK_MICROS = 1_000_000;

  /** Fewer machines than this do not show that the leader is cut off from its workers. */
  private static final int MIN_MACHINES_FOR_SILENCE = 3;

  private final LeaderDependencies dependencies;
  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final ScaleOutController scaleOut;
  private final HeartbeatHandler heartbeats;
  private final CoverageTracker coverage;
  private final HeartbeatResponder responder;
  private final DelegationGrants delegation;
  private final PlanningLoop planning;
  private final StateLoader loader;
  private final JobProgressReporter progress;
  private final LeaderStatus status;
  private boolean ready;

  /**
   * Creates the leader of a term, which does nothing before {@link #begin}.
   *
   * @param termNumber the number of the term that was won
   * @param termVersion the version of the term's key in the store
   * @param onLost run when a commit shows that another leader has written to the store
   */
  public Leader(
      LeaderDependencies dependencies, long termNumber, long termVersion, Runnable onLost) {
    this.dependencies = dependencies;
    term = new LeaderTerm(dependencies, termNumber, termVersion, onLost);
    machines = new MachineRegistry(term);
    JobRegistry jobs = new JobRegistry(term, machines, this::planSoon);
    scaleOut = new ScaleOutController(term, machines, dependencies.cloud());
    coverage = new CoverageTracker(term, dependencies.others().size() + 1);
    heartbeats =
        new HeartbeatHandler(term, machines, jobs, scaleOut, this::planSoon, coverage::defersStart);
    responder =
        new HeartbeatResponder(term, jobs, heartbeats, dependencies.renewalSafeUntilMicros());
    delegation = new DelegationGrants(term, jobs, dependencies.others());
    planning = new PlanningLoop(term, machines, scaleOut, heartbeats, coverage, this::ready);
    loader = new StateLoader(term, dependencies.catalog(), machines, jobs, scaleOut, delegation);
    progress = new JobProgressReporter(term);
    status = new LeaderStatus(term, scaleOut, coverage, planning);
    machines.onDurable(this::onDurable);
  }

  /** Begins to read the stored state. */
  public void begin() {
    loader.load(this::takeOver);
  }

  /** Ends the term: whatever waits for an answer is refused, and nothing is written any more. */
  public void end() {
    term.close();
    responder.close();
  }

  /** The number of the term. */
  public long number() {
    return term.number;
  }

  /** Whether the stored state has been read, so that commands are given. */
  public boolean ready() {
    return ready;
  }

  /** Whether a heartbeat is replied to at this moment, rather than once the state is read. */
  public boolean decidesHeartbeats() {
    return responder.decides();
  }

  /** Takes a worker's heartbeat; the reply may come a little later. */
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatReply> receiver) {
    responder.handle(heartbeat, receiver);
  }

  /**
   * For how long, in microseconds, other controllers may answer workers in this leader's stead,
   * with no command; 0 for not at all.
   */
  public long delegationGrantMicros() {
    return ready ? delegation.grantMicros() : 0;
  }

  /**
   * Grants delegation for the time to other controllers, and returns those of the processes heard
   * from that may be sent the grant.
   */
  public List<StampEcho> grantDelegation(List<StampEcho> heard, long grantMicros) {
    return delegation.grant(heard, grantMicros);
  }

  /** Another controller has answered machines in this leader's stead. */
  public void onDelegatedRenewals(DelegatedRenewals renewals) {
    delegation.onRenewals(renewals);
  }

  /** Another controller's status, with what it has heard of this process, or null. */
  public void onMembershipStatus(MembershipStatus peer, StampEcho mine) {
    delegation.onStatus(peer, mine);
  }

  /** How far a job has come; empty if this leader does not know it. */
  public Optional<JobProgress> progress(String jobId) {
    return ready ? progress.progress(jobId) : Optional.empty();
  }

  /** The progress of a part of the jobs, a different part each time if there are many. */
  public List<JobProgress> nextProgressBatch() {
    return progress.nextBatch();
  }

  /**
   * How many writes a second this leader is likely to leave over for users.
   *
   * @param sinceMicros the time since this was last asked
   */
  public double spareWritesPerSecond(long sinceMicros) {
    return ready ? term.commits.spareWritesPerSecond(sinceMicros) : 0;
  }

  /** Writes the fields of {@code GET /metrics} that only the leader knows. */
  public void writeMetrics(JsonGenerator out) throws IOException {
    status.writeMetrics(out);
  }

  /** Writes the runs of tasks that ended after the run with the number. */
  public void writeHistory(JsonGenerator out, long after) throws IOException {
    term.history.write(out, after);
  }

  private void takeOver() {
    new CatalogPersister(term, dependencies.catalog()).start();
    ready = true;
    responder.markReady();
    coverage.begin(responder::acceptEarly);
    term.every(TICK_MICROS, this::tick);
    term.every(SUMMARY_MICROS, status::logSummary);
  }

  private void planSoon() {
    planning.planSoon();
  }

  private void onDurable(Machine machine) {
    responder.onDurable(machine);
    heartbeats.sendDirectCommands(machine);
  }

  private void tick() {
    if (mostMachinesSilent()) {
      term.election.yieldLeadership("most machines have fallen silent at once");
      return;
    }
    machines.expireSilentLeases(term.scheduler.nowMicros());
    term.cluster.types = dependencies.catalog().types();
    coverage.refresh();
    scaleOut.reconcileMachines(term.scheduler.nowMicros(), coverage.coverage());
    planning.plan();
    sendDirectCommands();
  }

  /** Repeats stops that show no effect, and sends starts that the coverage allows by now. */
  private void sendDirectCommands() {
    int sent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (sent < MAX_DIRECT_PER_TICK && heartbeats.sendDirectCommands(machine)) {
        sent++;
      }
    }
  }

  /**
   * Whether this leader is likely to be cut off from the workers. It would keep its lease on the
   * lead while their leases run out. Machines rarely fall silent together by themselves, so another
   * node should try while the leases still last. In an outage of the store no other node could be
   * elected, and the lead is kept.
   */
  private boolean mostMachinesSilent() {
    long nowMicros = term.scheduler.nowMicros();
    long limitMicros = 2 * term.deployment.workers().reportMicros() + SILENCE_SLACK_MICROS;
    int reported = 0;
    int silent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.reported && !machine.leaseExpired && !machine.retiring) {
        reported++;
        silent += nowMicros - machine.lastHeardMicros > limitMicros ? 1 : 0;
      }
    }
    return reported >= MIN_MACHINES_FOR_SILENCE
        && 3 * silent >= 2 * reported
        && term.election.holdsLease();
  }
}
