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
  private static final long TICK_INTERVAL_MICROS = 250_000;
  private static final long SUMMARY_INTERVAL_MICROS = 30_000_000;

  /**
   * Limits the direct requests per tick, so that one turn of the event loop stays short. 1,000
   * machines still receive their commands within ten ticks, before their next heartbeats.
   */
  private static final int MAX_DIRECT_REQUESTS_PER_TICK = 100;

  /** Added to two heartbeat intervals before a machine counts as silent. */
  private static final long SILENCE_SLACK_MICROS = 1_000_000;

  /** With fewer machines, their silence does not show that the leader is cut off from them. */
  private static final int MIN_MACHINES_FOR_SILENCE_CHECK = 3;

  private final LeaderDependencies dependencies;
  private final LeaderTerm term;
  private final MachineRegistry machines;
  private final JobRegistry jobs;
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
   * Creates the leader of a term, which is inactive until {@link #begin}.
   *
   * @param termNumber the number of the term that was won
   * @param termVersion the version of the term's key in the store
   * @param onLost run when a commit fails because another leader has written to the store
   */
  public Leader(
      LeaderDependencies dependencies, long termNumber, long termVersion, Runnable onLost) {
    this.dependencies = dependencies;
    term = new LeaderTerm(dependencies, termNumber, termVersion, onLost);
    machines = new MachineRegistry(term);
    jobs = new JobRegistry(term, machines, this::planSoon);
    scaleOut = new ScaleOutController(term, machines, dependencies.cloud());
    coverage = new CoverageTracker(term, dependencies.otherMembers().size() + 1);
    heartbeats =
        new HeartbeatHandler(term, machines, jobs, scaleOut, this::planSoon, coverage::defersStart);
    responder =
        new HeartbeatResponder(term, jobs, heartbeats, dependencies.renewalSafeUntilMicros());
    delegation = new DelegationGrants(term, jobs, dependencies.otherMembers());
    planning = new PlanningLoop(term, machines, scaleOut, heartbeats, coverage, this::ready);
    loader = new StateLoader(term, dependencies.catalog(), machines, jobs, scaleOut, delegation);
    progress = new JobProgressReporter(term);
    status = new LeaderStatus(term, scaleOut, coverage, planning);
    machines.setDurableListener(this::onDurable);
  }

  /** Starts reading the stored state. The leader is ready once the state is loaded. */
  public void begin() {
    loader.load(this::takeOver);
  }

  /** Ends the term: refuses heartbeats with a pending reply and stops writing to the store. */
  public void end() {
    term.close();
    responder.close();
  }

  /** Returns the number of the term. */
  public long termNumber() {
    return term.number;
  }

  /** Returns whether the stored state has been loaded, so that this leader issues commands. */
  public boolean ready() {
    return ready;
  }

  /**
   * Returns whether heartbeats can be replied to now. Until the stored state is loaded, that is the
   * case only while a grant of an earlier term allows answers.
   */
  public boolean repliesToHeartbeats() {
    return responder.repliesToHeartbeats();
  }

  /**
   * Processes a worker's heartbeat.
   *
   * @param callback receives the reply, either during this call or after a short delay
   */
  public void handleHeartbeat(Heartbeat heartbeat, Consumer<HeartbeatReply> callback) {
    responder.handle(heartbeat, callback);
  }

  /**
   * Returns for how long, in microseconds, other controllers may answer workers on behalf of this
   * leader, without commands; 0 if they may not.
   */
  public long delegationGrantMicros() {
    return ready ? delegation.grantMicros() : 0;
  }

  /**
   * Records a delegation grant that is about to be sent to other controllers.
   *
   * @param processes the latest known processes of the other controllers
   * @param grantMicros the length of the grant
   * @return the processes that the grant may be sent to
   */
  public List<StampEcho> grantDelegation(List<StampEcho> processes, long grantMicros) {
    return delegation.recordGrant(processes, grantMicros);
  }

  /** Handles a report of another controller that renewed leases on behalf of this leader. */
  public void onDelegatedRenewals(DelegatedRenewals renewals) {
    delegation.recordRenewals(renewals);
  }

  /**
   * Handles another controller's status.
   *
   * @param echo the last stamp that the controller received from this process, or null if none
   */
  public void onMembershipStatus(MembershipStatus status, StampEcho echo) {
    delegation.recordStatus(status, echo);
  }

  /** Returns the progress of a job; empty if the leader is not ready or has no such job. */
  public Optional<JobProgress> progress(String jobId) {
    return ready ? progress.progress(jobId) : Optional.empty();
  }

  /** Returns the progress of a batch of jobs. Successive calls cycle through all jobs. */
  public List<JobProgress> nextProgressBatch() {
    return progress.nextBatch();
  }

  /**
   * Returns how many writes per second of its share this leader is expected to leave for users; 0
   * if it is not ready.
   *
   * @param sinceMicros the time since the last call
   */
  public double spareWritesPerSecond(long sinceMicros) {
    return ready ? term.commitQueue.spareWritesPerSecond(sinceMicros) : 0;
  }

  /** Writes the fields of {@code GET /metrics} that only the leader provides. */
  public void writeMetrics(JsonGenerator out) throws IOException {
    status.writeMetrics(out);
  }

  /** Writes the task runs that follow the run with the number {@code after} in the history. */
  public void writeHistory(JsonGenerator out, long after) throws IOException {
    term.runHistory.write(out, after);
  }

  private void takeOver() {
    new CatalogPersister(term, dependencies.catalog()).start();
    ready = true;
    responder.markReady();
    coverage.begin(responder::acceptEarlyHeartbeats);
    term.runEvery(TICK_INTERVAL_MICROS, this::tick);
    term.runEvery(SUMMARY_INTERVAL_MICROS, status::logSummary);
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
      term.election.stepDownAndPauseCampaigns("heartbeats of most machines are missing");
      return;
    }
    machines.expireSilentLeases(term.scheduler.nowMicros());
    jobs.reviewFailingJobs(term.scheduler.nowMicros());
    term.cluster.types = dependencies.catalog().types();
    coverage.refresh();
    scaleOut.reconcileMachines(term.scheduler.nowMicros(), coverage.coverage());
    planning.plan();
    sendDirectCommands();
  }

  /** Repeats stops without visible effect, and sends starts that are no longer deferred. */
  private void sendDirectCommands() {
    int sent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (sent < MAX_DIRECT_REQUESTS_PER_TICK && heartbeats.sendDirectCommands(machine)) {
        sent++;
      }
    }
  }

  /**
   * Returns whether this leader is probably cut off from the workers. It would keep its own lease
   * while the workers' leases expire. It is rare that most machines fail at the same time, so
   * another controller should take over while the workers' leases are still valid. During a store
   * outage no other controller can be elected, so this leader does not step down.
   */
  private boolean mostMachinesSilent() {
    long nowMicros = term.scheduler.nowMicros();
    long silenceLimitMicros =
        2 * term.deployment.workers().heartbeatIntervalMicros() + SILENCE_SLACK_MICROS;
    int reported = 0;
    int silent = 0;
    for (Machine machine : term.cluster.machines.values()) {
      if (machine.reported && !machine.leaseExpired && !machine.retiring) {
        reported++;
        silent += nowMicros - machine.lastHeartbeatAnsweredMicros > silenceLimitMicros ? 1 : 0;
      }
    }
    return reported >= MIN_MACHINES_FOR_SILENCE_CHECK
        && 3 * silent >= 2 * reported
        && term.election.holdsLease();
  }
}
