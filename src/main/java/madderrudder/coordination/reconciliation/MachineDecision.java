package madderrudder.coordination.reconciliation;

/**
 * The leader's decision on one machine; {@code docs/cold-start.md} has the decision table.
 *
 * @param verdict the action to take
 * @param reason the reason for the verdict, for the log
 */
public record MachineDecision(Verdict verdict, String reason) {
  /** The action to take on a machine. */
  public enum Verdict {
    /** Leave the machine as it is. */
    KEEP,
    /** Take no action until more is known. */
    AWAIT,
    /** Add the machine to the records as owned, because it was there before the first rental. */
    ADOPT_OWNED,
    /** Add the machine to the records as a rented one: it is used, or returned when idle. */
    ADOPT,
    /** Return the machine to the cloud. */
    RETURN,
    /** Remove the machine, which no longer exists, and release its tasks. */
    REMOVE
  }
}
