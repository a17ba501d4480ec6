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
 * Sends commands that do not wait for a heartbeat to a worker's own address, and takes the report
 * in that the worker responds with. One request at a time is in flight to a machine. Confined to
 * the event loop thread.
 */
final class DirectCommandSender {
  private static final Logger LOG = LoggerFactory.getLogger(DirectCommandSender.class);
  private static final long TIMEOUT_MICROS = 2_500_000;

  /** A machine that did not execute commands is sent none directly for this time. */
  private static final long PAUSE_MICROS = 10_000_000;

  private static final int OK = 200;
  private static final int MALFORMED = 400;

  /** The token was lower than one that the worker has seen, or the epoch does not match. */
  private static final int CONFLICT = 409;

  private final LeaderTerm term;
  private final CommandPlanner planner;
  private final SentCommands sent;
  private final TaskStatusIngest tasks;
  private final Runnable onCapacityFreed;

  /** {@code onCapacityFreed} is run when a response shows that a task has gone. */
  DirectCommandSender(
      LeaderTerm term,
      CommandPlanner planner,
      SentCommands sent,
      TaskStatusIngest tasks,
      Runnable onCapacityFreed) {
    this.term = term;
    this.planner = planner;
    this.sent = sent;
    this.tasks = tasks;
    this.onCapacityFreed = onCapacityFreed;
  }

  /** Sends what cannot wait for the machine's next heartbeat; true if a request went out. */
  boolean send(Machine machine) {
    long nowMicros = term.scheduler.nowMicros();
    if (!reachable(machine, nowMicros) || term.closed()) {
      return false;
    }
    CommandPlan plan = planner.planDirect(machine, nowMicros, term.election.holdsLease());
    SentCommands.noteDirectStops(plan, nowMicros);
    if (plan.commands().isEmpty() || !Addresses.valid(machine.address)) {
      return false;
    }
    long token = sent.issueToken(machine, machine.seenToken);
    SentCommands.noteDirectStarts(machine, plan, token, nowMicros);
    machine.directInFlight = true;
    long epoch = machine.epoch;
    term.calls.call(
        machine.address,
        HttpRequest.post("/orders", WorkerCodec.directCommands(token, epoch, plan.commands())),
        TIMEOUT_MICROS,
        response -> {
          machine.directInFlight = false;
          if (!term.closed()) {
            handleResponse(machine, epoch, plan.starts(), response);
          }
        });
    return true;
  }

  private boolean reachable(Machine machine, long nowMicros) {
    return !machine.directInFlight
        && !machine.address.isEmpty()
        && nowMicros >= machine.directBlockedUntilMicros
        && machine.usable(nowMicros, term.deployment.workers().reportMicros());
  }

  private void handleResponse(
      Machine machine, long epoch, List<Assignment> starts, HttpResponse response) {
    int status = response.status();
    if (status == HttpResponse.NOT_SENT || status == CONFLICT || status == MALFORMED) {
      starts.forEach(Assignment::startRefused);
    }
    boolean overtaken =
        (status == OK || status == CONFLICT) && handleReport(machine, epoch, starts, response);
    // The answer to a heartbeat may have been quicker and carried a higher token; the next request
    // carries that token too, so there is no need to pause.
    if (status != OK && !overtaken) {
      machine.directBlockedUntilMicros = term.scheduler.nowMicros() + PAUSE_MICROS;
    }
  }

  /**
   * Takes in the report in a response; true if the worker of that epoch knows this term, so that a
   * refusal means only that a higher token of this term has overtaken the request.
   */
  private boolean handleReport(
      Machine machine, long epoch, List<Assignment> starts, HttpResponse response) {
    try {
      Heartbeat report = WorkerCodec.readHeartbeat(response.body());
      if (FencingToken.term(report.token()) > term.number) {
        term.election.observeToken(report.token());
      } else if (response.status() == OK && report.machine().equals(machine.id)) {
        mergeReport(machine, epoch, starts, report);
      }
      return FencingToken.term(report.token()) == term.number && report.epoch() == epoch;
    } catch (MalformedMessageException e) {
      LOG.info("malformed response of {} to direct commands: {}", machine.id, e.getMessage());
      return false;
    }
  }

  /**
   * Takes in the worker's state after direct commands. It shows which tasks are there, and proves
   * nothing about tasks that it does not name.
   */
  private void mergeReport(Machine machine, long epoch, List<Assignment> starts, Heartbeat report) {
    if (machine.epoch != epoch || !report.newerThan(machine.epoch, machine.sequence)) {
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
