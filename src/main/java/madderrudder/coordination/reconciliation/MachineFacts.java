package madderrudder.coordination.reconciliation;

/**
 * What is known of a machine: what the log, the cloud's list and its worker say.
 *
 * @param recorded whether the leader's log names it
 * @param owned it is not rented
 * @param returning its return is decided already
 * @param listed what the cloud's list says
 * @param worker what its worker does
 * @param empty nothing is, or may be, on it
 * @param most most machines are in the same state as this one, so that it is rather the leader that
 *     is cut off
 */
public record MachineFacts(
    Recorded recorded,
    boolean owned,
    boolean returning,
    Listed listed,
    Worker worker,
    boolean empty,
    boolean most) {
  /** Whether the log names a machine. */
  public enum Recorded {
    NO,
    YES,
    /** Its deletion was confirmed, or it was found gone, in this term. */
    GONE
  }

  /** What the cloud's list says of a machine. */
  public enum Listed {
    /** Nothing that would prove anything: there was no list since, or it may be too new for it. */
    UNKNOWN,
    /** It is there. */
    THERE,
    /**
     * It has been in the lists for longer than a rental's answer, or a deletion, can be under way.
     */
    LASTING,
    /** It stopped by itself. */
    FAILED,
    /** It is not in a list that describes a time when it would have been, were it there. */
    MISSING
  }

  /** What its worker does. */
  public enum Worker {
    /** Its reports come. */
    REPORTS,
    /** Its reports come, and for a lease nothing has shown that answers reach it. */
    UNACKNOWLEDGED,
    /** It has reported, and has had nothing to do for as long as an idle machine is kept. */
    IDLE,
    /** Not heard in this term, and it may still come up, or find its way to a new leader. */
    EXPECTED,
    /** Not heard, and it would have come up by now. */
    OVERDUE,
    /** It was heard, and now a report is missing. */
    SILENT,
    /** Silent for so long that it has surely dropped all it had. */
    LEASE_EXPIRED
  }
}
