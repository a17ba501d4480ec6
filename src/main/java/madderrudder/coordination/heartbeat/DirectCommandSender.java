package madderrudder.coordination.heartbeat;

import java.util.List;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.registry.LeaderTerm;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.WorkerCodec;
import madderrudder.transport.Addresses;
import madderrudder.transport.HttpRequest;
import madderrudder.transport.HttpResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends commands that cannot wait for a heartbeat to the worker's own address, and applies the
 * report in the worker's response. At most one request per machine is in flight. Confined to the
 * event loop thread.
 */
final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
  private static final long REQUEST_TIMEOUT_MICROS = 2_500_000;

  /** Time without direct commands to a machine after a request that it did not execute. */
  private static final long FAILURE_PAUSE_MICROS = 10_000_000;

  /** Copies of old heartbeats can come in bursts; one request suffices for all of them. */
  private static final long INVALIDATION_INTERVAL_MICROS = 1_000_000;

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;

  /** The worker has seen a higher token than that of the request, or is in a different epoch. */
  private static final int STATUS_CONFLICT = 409;

  private final LeaderTerm term;
  private final CommandPlanner planner;
  private final SentCommandRecorder commandRecorder;
  private final TaskStatusIngest tasks;
  private final Runnable onCapacityFreed;

  /**
   * Creates the sender of one term.
   *
   * @param onCapacityFreed run when a response shows that a task no longer uses the machine
   */
  DirectCommandSender(
      LeaderTerm term,
      CommandPlanner planner,
      SentCommandRecorder commandRecorder,
      TaskStatusIngest tasks,
      Runnable onCapacityFreed) {
    this.term = term;
    this.planner = planner;
    this.commandRecorder = commandRecorder;
    this.tasks = tasks;
    this.onCapacityFreed = onCapacityFreed;
  }

  /**
   * Sends the commands that cannot wait for the machine's next heartbeat.
   *
   * @return true if a request was sent
   */
  boolean send(Machine machine) {
    long nowMicros = term.scheduler.nowMicros();
    if (!mayReceiveDirectCommands(machine, nowMicros) || term.isClosed()) {
      return false;
    }
    CommandPlan plan = planner.planDirect(machine, nowMicros, term.election.holdsLease());
    SentCommandRecorder.recordDirectStops(plan, nowMicros);
    if (plan.commands().isEmpty() || !Addresses.isValid(machine.address)) {
      return false;
    }
    long token = commandRecorder.issueToken(machine, machine.seenToken);
    SentCommandRecorder.recordDirectStarts(machine, plan, token, nowMicros);
    machine.directInFlight = true;
    long epoch = machine.epoch;
    term.httpCaller.call(
        machine.address,
        HttpRequest.post("/orders", WorkerCodec.directCommands(token, epoch, plan.commands())),
        REQUEST_TIMEOUT_MICROS,
        response -> {
          machine.directInFlight = false;
          if (!term.isClosed()) {
            handleResponse(machine, epoch, plan.starts(), response);
          }
        });
    return true;
  }

  /**
   * Makes the worker that sent a stale heartbeat reject copies of earlier direct starts, if the
   * heartbeat carries a lower token than the worker is known to have seen. Such a heartbeat is an
   * old copy, or that of a worker that restarted and knows neither its epoch nor its token: it
   * would execute those copies until its reports are accepted again, a lease later. The request
   * carries no commands, renews no lease, and has no effect on a worker that is in another epoch.
   */
  void invalidateEarlierStarts(Machine machine, Heartbeat stale) {
    long nowMicros = term.scheduler.nowMicros();
    if (stale.token() >= machine.seenToken
        || nowMicros - machine.invalidationSentMicros < INVALIDATION_INTERVAL_MICROS
        || !Addresses.isValid(stale.address())
        || term.isClosed()) {
      return;
    }
    machine.invalidationSentMicros = nowMicros;
    if (machine.directToken >= machine.issuedToken) {
      machine.raiseToken();
    }
    long token = commandRecorder.issueToken(machine, machine.seenToken);
    term.httpCaller.call(
        stale.address(),
        HttpRequest.post("/orders", WorkerCodec.directCommands(token, stale.epoch(), List.of())),
        REQUEST_TIMEOUT_MICROS,
        response ->
            LOG.debug(
                "machine {} with a stale heartbeat answered token {} with status {}",
                machine.id,
                token,
                response.status()));
  }

  private boolean mayReceiveDirectCommands(Machine machine, long nowMicros) {
    return !machine.directInFlight
        && !machine.address.isEmpty()
        && nowMicros >= machine.directBlockedUntilMicros
        && machine.usable(nowMicros, term.deployment.workers().heartbeatIntervalMicros());
  }

  private void handleResponse(
      Machine machine, long epoch, List<Assignment> starts, HttpResponse response) {
    int status = response.status();
    if (status == HttpResponse.NOT_SENT
        || status == STATUS_CONFLICT
        || status == STATUS_BAD_REQUEST) {
      starts.forEach(Assignment::recordStartRefused);
    }
    boolean superseded =
        (status == STATUS_OK || status == STATUS_CONFLICT)
            && handleReport(machine, epoch, starts, response);
    // The answer to a heartbeat may have arrived first with a higher token. The next request
    // carries that token too, so no pause is needed.
    if (status != STATUS_OK && !superseded) {
      machine.directBlockedUntilMicros = term.scheduler.nowMicros() + FAILURE_PAUSE_MICROS;
    }
  }

  /**
   * Applies the report in a response.
   *
   * @return true if the worker is in the epoch of the request and has seen a token of this term, so
   *     that a refusal means only that a higher token of this term superseded the request
   */
  private boolean handleReport(
      Machine machine, long epoch, List<Assignment> starts, HttpResponse response) {
    try {
      Heartbeat report = WorkerCodec.readHeartbeat(response.body());
      if (FencingToken.term(report.token()) > term.number) {
        term.election.observeToken(report.token());
      } else if (response.status() == STATUS_OK && report.machine().equals(machine.id)) {
        mergeReport(machine, epoch, starts, report);
      }
      return FencingToken.term(report.token()) == term.number && report.epoch() == epoch;
    } catch (MalformedMessageException e) {
      LOG.info(
          "machine {} sent a malformed response to direct commands: {}",
          machine.id,
          e.getMessage());
      return false;
    }
  }

  /**
   * Applies the worker's report after it executed direct commands. The report proves which tasks
   * the worker has, but not that a task it does not name is absent.
   */
  private void mergeReport(Machine machine, long epoch, List<Assignment> starts, Heartbeat report) {
    if (machine.epoch != epoch || !report.isNewerThan(machine.epoch, machine.sequence)) {
      return;
    }
    machine.sequence = report.sequence();
    machine.seenToken = Math.max(machine.seenToken, report.token());
    starts.forEach(start -> start.startSequence = Math.max(start.startSequence, report.sequence()));
    if (tasks.applyStatuses(machine, report, term.scheduler.nowMicros())) {
      onCapacityFreed.run();
    }
  }
}
