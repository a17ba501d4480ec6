package madderrudder.coordination.reconciliation;

/**
 * What follows for one attempt of a task on one machine, and why; {@code docs/cold-start.md} has
 * the table.
 *
 * @param verdict what is to be done
 * @param reason why, for the log
 */
public record TaskDecision(Verdict verdict, String reason) {
  /** What is to be done with an attempt on a machine. */
  public enum Verdict {
    /** It stays as it is, and nothing is said. */
    KEEP,
    /** Nothing can be said before more is heard; it counts as being there. */
    AWAIT,
    /** The worker is told to start it. */
    START,
    /** The worker is told to stop it. */
    STOP,
    /** It has completed: that is recorded, and it is kept on the worker until then. */
    RECORD_DONE,
    /** It has exited and its record goes. */
    RECORD_EXIT,
    /**
     * It is certainly not there and cannot start any more: its record goes, and it may be placed
     * anew.
     */
    GONE,
    /** The worker is told to forget what has exited. */
    FORGET
  }
}
