package madderrudder.coordination.reconciliation;

import madderrudder.coordination.reconciliation.MachineDecision.Verdict;
import madderrudder.coordination.reconciliation.MachineFacts.Listed;
import madderrudder.coordination.reconciliation.MachineFacts.Worker;

/**
 * Reconciles the machines in the leader's log with the cloud's list and with the workers'
 * heartbeats. A pure function that any thread may call.
 */
public final class MachineReconciler {
  private static final MachineDecision REMOVED =
      new MachineDecision(
          Verdict.KEEP, "removed in this term; the list or heartbeat that shows it is stale");
  private static final MachineDecision NOT_SHOWN_RUNNING =
      new MachineDecision(Verdict.AWAIT, "not recorded, and no list or heartbeat shows it running");
  private static final MachineDecision FOUND_OWNED =
      new MachineDecision(Verdict.ADOPT_OWNED, "found before the first rental, so it is owned");
  private static final MachineDecision UNRECORDED_REPORTING =
      new MachineDecision(Verdict.ADOPT, "it sends heartbeats but is not recorded");
  private static final MachineDecision UNRECORDED_LISTED =
      new MachineDecision(Verdict.ADOPT, "it stays in the cloud's list but is not recorded");
  private static final MachineDecision RENTAL_OR_DELETION_IN_FLIGHT =
      new MachineDecision(
          Verdict.AWAIT,
          "a scale-out response may still name it, or its deletion may be in progress");
  private static final MachineDecision NOT_LISTED =
      new MachineDecision(Verdict.REMOVE, "the cloud no longer lists it");
  private static final MachineDecision RETURNING =
      new MachineDecision(Verdict.KEEP, "it is already being returned");
  private static final MachineDecision OWNED =
      new MachineDecision(Verdict.KEEP, "owned machines are never returned");
  private static final MachineDecision FAILED =
      new MachineDecision(Verdict.RETURN, "the cloud lists it as failed");
  private static final MachineDecision LEASE_EXPIRED =
      new MachineDecision(
          Verdict.RETURN, "no heartbeat arrived for longer than its worker's lease lasts");
  private static final MachineDecision LEADER_CUT_OFF =
      new MachineDecision(
          Verdict.AWAIT, "most machines are silent, so the leader is probably cut off");
  private static final MachineDecision UNACKNOWLEDGED =
      new MachineDecision(
          Verdict.RETURN, "its worker has acknowledged no answer for a whole lease");
  private static final MachineDecision UNACKNOWLEDGED_IN_USE =
      new MachineDecision(
          Verdict.AWAIT, "its worker acknowledges no answer, but its tasks may still run");
  private static final MachineDecision BOOT_OVERDUE =
      new MachineDecision(
          Verdict.RETURN, "it has sent no heartbeat in the time that it needs to boot");
  private static final MachineDecision IDLE = new MachineDecision(Verdict.RETURN, "idle");
  private static final MachineDecision IN_USE =
      new MachineDecision(Verdict.KEEP, "it is in use or was used recently");
  private static final MachineDecision MAY_STILL_REPORT =
      new MachineDecision(Verdict.AWAIT, "its first heartbeat in this term may still arrive");

  private MachineReconciler() {}

  /**
   * Returns the decision on one machine.
   *
   * @param facts what is known of the machine
   * @param nothingRented whether no machine was ever rented, so that an unrecorded machine must be
   *     an owned one
   */
  public static MachineDecision decide(MachineFacts facts, boolean nothingRented) {
    return switch (facts.recorded()) {
      case REMOVED -> REMOVED;
      case NO -> decideUnrecorded(facts, nothingRented);
      case YES -> decideRecorded(facts);
    };
  }

  private static MachineDecision decideUnrecorded(MachineFacts facts, boolean nothingRented) {
    boolean reports = facts.worker() == Worker.REPORTS;
    boolean isListed = facts.listed() == Listed.LISTED || facts.listed() == Listed.LISTED_FOR_LONG;
    if (nothingRented && (reports || isListed)) {
      return FOUND_OWNED;
    }
    if (reports) {
      return UNRECORDED_REPORTING;
    }
    return switch (facts.listed()) {
      case LISTED_FOR_LONG -> UNRECORDED_LISTED;
      case LISTED -> RENTAL_OR_DELETION_IN_FLIGHT;
      case UNKNOWN, FAILED, MISSING -> NOT_SHOWN_RUNNING;
    };
  }

  private static MachineDecision decideRecorded(MachineFacts facts) {
    if (facts.listed() == Listed.MISSING
        && facts.worker() != Worker.REPORTS
        && facts.worker() != Worker.IDLE) {
      return NOT_LISTED;
    }
    if (facts.returning()) {
      return RETURNING;
    }
    if (facts.owned()) {
      return OWNED;
    }
    if (facts.listed() == Listed.FAILED) {
      return FAILED;
    }
    return switch (facts.worker()) {
      case UNACKNOWLEDGED -> facts.empty() ? UNACKNOWLEDGED : UNACKNOWLEDGED_IN_USE;
      case LEASE_EXPIRED -> facts.mostMachinesSilent() ? LEADER_CUT_OFF : LEASE_EXPIRED;
      case OVERDUE -> facts.empty() ? BOOT_OVERDUE : MAY_STILL_REPORT;
      case IDLE -> facts.empty() ? IDLE : IN_USE;
      case EXPECTED -> MAY_STILL_REPORT;
      case REPORTS, SILENT -> IN_USE;
    };
  }
}
