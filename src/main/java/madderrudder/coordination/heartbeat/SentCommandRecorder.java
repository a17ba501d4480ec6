package madderrudder.coordination.heartbeat;

import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Machine;

/**
 * Records in the cluster state the commands that are about to be sent to a worker, after {@link
 * CommandPlanner} has chosen them. The reconciler uses these records to determine which commands
 * may still arrive. Also issues the fencing token that accompanies the commands.
 */
final class SentCommandRecorder {
  private final long term;

  /**
   * Creates a recorder for one term.
   *
   * @param term the leader's term
   */
  SentCommandRecorder(long term) {
    this.term = term;
  }

  /**
   * Records a plan that is sent as the answer to a heartbeat, and raises the machine's fencing
   * token if the plan requires it.
   *
   * @param heartbeatSequence the sequence number of that heartbeat
   */
  static void recordAnswer(
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

  /** Records the stops of a plan that is sent to the worker's own address. */
  static void recordDirectStops(CommandPlan plan, long nowMicros) {
    for (Assignment stop : plan.stops()) {
      stop.stopSentMicros = nowMicros;
    }
  }

  /**
   * Records the starts of a plan that is sent to the worker's own address.
   *
   * @param token the fencing token that the request carries
   */
  static void recordDirectStarts(Machine machine, CommandPlan plan, long token, long nowMicros) {
    for (Assignment start : plan.starts()) {
      start.startSent = true;
      start.startSentMicros = nowMicros;
      start.directToken = token;
      machine.directToken = token;
    }
  }

  /**
   * Returns the fencing token to send to a worker, and records it as issued to the machine. The
   * issued token never decreases within a term.
   *
   * @param seenToken the token that the worker last reported
   */
  long issueToken(Machine machine, long seenToken) {
    machine.issuedToken =
        Math.max(machine.issuedToken, FencingToken.tokenForAnswer(seenToken, term));
    return machine.issuedToken;
  }
}
