package madderrudder.coordination.reconciliation;

/**
 * What follows for a machine, and why; {@code docs/cold-start.md} has the table.
 *
 * @param verdict what is to be done
 * @param reason why, for the log
 */
public record MachineDecision(Verdict verdict, String reason) {
  /** What is to be done with a machine. */
  public enum Verdict {
    /** It stays as it is. */
    KEEP,
    /** Nothing can be said before more is known. */
    AWAIT,
    /** It is taken up as one that was there before the first rental. */
    ADOPT_OWNED,
    /** It is taken up as rented: used, or returned when idle. */
    ADOPT,
    /** It is returned to the cloud. */
    RETURN,
    /** It is gone, and all that was on it. */
    GONE
  }
}
