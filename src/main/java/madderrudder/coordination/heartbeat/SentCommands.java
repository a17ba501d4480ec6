package madderrudder.coordination.heartbeat;

import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;

/**
 * Notes in the cluster state what a worker is being sent: the second step after {@link
 * CommandPlanner}. The reconciler later tells from these notes which commands may still arrive.
 */
final class SentCommands {
  private final long term;

  /**
   * @param term the leader's term
   */
  SentCommands(long term) {
    this.term = term;
  }

  /** Notes a plan that goes out as the answer to the heartbeat with the sequence number. */
  static void noteAnswer(
      Machine machine, CommandPlan plan, long heartbeatSequence, long nowMicros) {
    for (Assignment stop : plan.stops()) {
      if (stop.stopSentMicros < 0) {
        stop.stopSentMicros = nowMicros;
      }
    }
    for (Assignment start : plan.starts()) {
      if (!start.startSent) {
        start.startSentMicros = nowMicros;
      }
      start.startSent = true;
      start.startSequence = heartbeatSequence;
    }
    if (plan.raiseToken()) {
      machine.raiseToken();
    }
  }

  /** Notes the stops of a plan for the worker's own address. */
  static void noteDirectStops(CommandPlan plan, long nowMicros) {
    for (Assignment stop : plan.stops()) {
      stop.stopSentMicros = nowMicros;
    }
  }

  /** Notes the starts of a plan that is sent to the worker's own address with the token. */
  static void noteDirectStarts(Machine machine, CommandPlan plan, long token, long nowMicros) {
    for (Assignment start : plan.starts()) {
      start.startSent = true;
      start.startSentMicros = nowMicros;
      start.directToken = token;
      machine.directToken = token;
    }
  }

  /**
   * The fencing token to send to a worker that has last shown the token given; it never falls
   * within a term.
   */
  long issueToken(Machine machine, long seenToken) {
    machine.issuedToken = Math.max(machine.issuedToken, FencingToken.echo(seenToken, term));
    return machine.issuedToken;
  }
}
