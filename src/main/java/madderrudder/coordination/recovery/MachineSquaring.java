package madderrudder.coordination.recovery;

import madderrudder.coordination.recovery.MachineFacts.Listed;
import madderrudder.coordination.recovery.MachineFacts.Worker;
import madderrudder.coordination.recovery.MachineFinding.Verdict;

/**
 * Squares what the log says of machines with the cloud's list and with their workers' reports: a
 * pure function.
 */
public final class MachineSquaring {
  private static final MachineFinding DELETED =
      new MachineFinding(Verdict.KEEP, "it was deleted; a list or report is late");
  private static final MachineFinding UNKNOWN =
      new MachineFinding(Verdict.AWAIT, "nothing is known of it");
  private static final MachineFinding FOUND_OWNED =
      new MachineFinding(Verdict.ADOPT_OWNED, "it was there before the first rental");
  private static final MachineFinding REPORTS =
      new MachineFinding(Verdict.ADOPT, "it reports, and the log does not know it");
  private static final MachineFinding UNEXPECTED =
      new MachineFinding(Verdict.ADOPT, "it stays in the list");
  private static final MachineFinding MAY_BE_ANSWERED =
      new MachineFinding(Verdict.AWAIT, "a rental's answer may name it, or it may be going");
  private static final MachineFinding VANISHED =
      new MachineFinding(Verdict.GONE, "the cloud lists it no more");
  private static final MachineFinding RETURNING =
      new MachineFinding(Verdict.KEEP, "it is being returned");
  private static final MachineFinding OWNED =
      new MachineFinding(Verdict.KEEP, "owned machines stay");
  private static final MachineFinding FAILED = new MachineFinding(Verdict.RETURN, "it has failed");
  private static final MachineFinding LAPSED =
      new MachineFinding(Verdict.RETURN, "silent for too long");
  private static final MachineFinding CUT_OFF =
      new MachineFinding(Verdict.AWAIT, "most are silent: the leader is cut off");
  private static final MachineFinding DEAF =
      new MachineFinding(Verdict.RETURN, "nothing reaches it");
  private static final MachineFinding LOSING =
      new MachineFinding(Verdict.AWAIT, "what it had is not surely gone yet");
  private static final MachineFinding NOT_UP =
      new MachineFinding(Verdict.RETURN, "it has not come up");
  private static final MachineFinding IDLE = new MachineFinding(Verdict.RETURN, "idle");
  private static final MachineFinding IN_USE =
      new MachineFinding(Verdict.KEEP, "it is in use, or was lately");
  private static final MachineFinding COMING = new MachineFinding(Verdict.AWAIT, "it may come up");

  private MachineSquaring() {}

  /**
   * What follows from the facts; {@code ownedOpen}: nothing was rented yet, so that what is found
   * is owned.
   */
  public static MachineFinding of(MachineFacts facts, boolean ownedOpen) {
    return switch (facts.logged()) {
      case GONE -> DELETED;
      case NO -> unlogged(facts, ownedOpen);
      case YES -> logged(facts);
    };
  }

  private static MachineFinding unlogged(MachineFacts facts, boolean ownedOpen) {
    boolean reports = facts.worker() == Worker.REPORTS;
    boolean there = facts.listed() == Listed.THERE || facts.listed() == Listed.LASTING;
    if (ownedOpen && (reports || there)) {
      return FOUND_OWNED;
    }
    if (reports) {
      return REPORTS;
    }
    return facts.listed() == Listed.LASTING ? UNEXPECTED : there ? MAY_BE_ANSWERED : UNKNOWN;
  }

  private static MachineFinding logged(MachineFacts facts) {
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
      case DEAF -> facts.empty() ? DEAF : LOSING;
      case LAPSED -> facts.most() ? CUT_OFF : LAPSED;
      case OVERDUE -> facts.empty() ? NOT_UP : COMING;
      case IDLE -> facts.empty() ? IDLE : IN_USE;
      case EXPECTED -> COMING;
      case REPORTS, SILENT -> IN_USE;
    };
  }
}
