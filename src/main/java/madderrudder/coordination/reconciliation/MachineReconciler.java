package madderrudder.coordination.reconciliation;

import madderrudder.coordination.reconciliation.MachineDecision.Verdict;
import madderrudder.coordination.reconciliation.MachineFacts.Listed;
import madderrudder.coordination.reconciliation.MachineFacts.Worker;

/**
 * Reconciles what the log says of machines with the cloud's list and with their workers'
 * heartbeats. A pure function, usable from any thread.
 */
public final class MachineReconciler {
  private static final MachineDecision DELETED =
      new MachineDecision(Verdict.KEEP, "it was deleted; a list or report is late");
  private static final MachineDecision UNKNOWN =
      new MachineDecision(Verdict.AWAIT, "nothing is known of it");
  private static final MachineDecision FOUND_OWNED =
      new MachineDecision(Verdict.ADOPT_OWNED, "it was there before the first rental");
  private static final MachineDecision REPORTS =
      new MachineDecision(Verdict.ADOPT, "it reports, and the log does not know it");
  private static final MachineDecision UNEXPECTED =
      new MachineDecision(Verdict.ADOPT, "it stays in the list");
  private static final MachineDecision MAY_BE_PENDING =
      new MachineDecision(Verdict.AWAIT, "a scale-out answer may name it, or it may be going");
  private static final MachineDecision VANISHED =
      new MachineDecision(Verdict.GONE, "the cloud no longer lists it");
  private static final MachineDecision RETURNING =
      new MachineDecision(Verdict.KEEP, "it is being returned");
  private static final MachineDecision OWNED =
      new MachineDecision(Verdict.KEEP, "owned machines stay");
  private static final MachineDecision FAILED =
      new MachineDecision(Verdict.RETURN, "it has failed");
  private static final MachineDecision LEASE_EXPIRED =
      new MachineDecision(Verdict.RETURN, "silent for too long");
  private static final MachineDecision LEADER_CUT_OFF =
      new MachineDecision(Verdict.AWAIT, "most are silent: the leader is cut off");
  private static final MachineDecision UNACKNOWLEDGED =
      new MachineDecision(Verdict.RETURN, "no answer reaches it");
  private static final MachineDecision MAY_STILL_RUN =
      new MachineDecision(Verdict.AWAIT, "what it had may still run");
  private static final MachineDecision NOT_UP =
      new MachineDecision(Verdict.RETURN, "it has not come up");
  private static final MachineDecision IDLE = new MachineDecision(Verdict.RETURN, "idle");
  private static final MachineDecision IN_USE =
      new MachineDecision(Verdict.KEEP, "it is in use, or was lately");
  private static final MachineDecision MAY_COME_UP =
      new MachineDecision(Verdict.AWAIT, "it may come up");

  private MachineReconciler() {}

  /**
   * The decision that follows from the facts.
   *
   * @param ownedOpen nothing was rented yet, so that a machine that is found is an owned one
   */
  public static MachineDecision of(MachineFacts facts, boolean ownedOpen) {
    return switch (facts.recorded()) {
      case GONE -> DELETED;
      case NO -> unrecorded(facts, ownedOpen);
      case YES -> recorded(facts);
    };
  }

  private static MachineDecision unrecorded(MachineFacts facts, boolean ownedOpen) {
    boolean reports = facts.worker() == Worker.REPORTS;
    boolean there = facts.listed() == Listed.THERE || facts.listed() == Listed.LASTING;
    if (ownedOpen && (reports || there)) {
      return FOUND_OWNED;
    }
    if (reports) {
      return REPORTS;
    }
    return switch (facts.listed()) {
      case LASTING -> UNEXPECTED;
      case THERE -> MAY_BE_PENDING;
      case UNKNOWN, FAILED, MISSING -> UNKNOWN;
    };
  }

  private static MachineDecision recorded(MachineFacts facts) {
    if (facts.listed() == Listed.MISSING
        && facts.worker() != Worker.REPORTS
        && facts.worker() != Worker.IDLE) {
      return VANISHED;
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
      case UNACKNOWLEDGED -> facts.empty() ? UNACKNOWLEDGED : MAY_STILL_RUN;
      case LEASE_EXPIRED -> facts.mostAlike() ? LEADER_CUT_OFF : LEASE_EXPIRED;
      case OVERDUE -> facts.empty() ? NOT_UP : MAY_COME_UP;
      case IDLE -> facts.empty() ? IDLE : IN_USE;
      case EXPECTED -> MAY_COME_UP;
      case REPORTS, SILENT -> IN_USE;
    };
  }
}
