package madderrudder.coordination.reconciliation;

/**
 * What is known of a machine: what the log, the cloud's list and its worker's heartbeats say.
 *
 * @param recorded whether the leader's log names it
 * @param owned whether it is owned rather than rented
 * @param returning whether its return is decided already
 * @param listed what the cloud's list says
 * @param worker what its worker does
 * @param empty whether nothing is, or may be, on it
 * @param mostAlike most machines are as silent as this one, so that it is rather the leader that is
 *     cut off
 */
public record MachineFacts(
    Recorded recorded,
    boolean owned,
    boolean returning,
    Listed listed,
    Worker worker,
    boolean empty,
    boolean mostAlike) {
  /** Whether the log names a machine. */
  public enum Recorded {
    /** It does not. */
    NO,
    /** It does. */
    YES,
    /** Its deletion was confirmed, or it was found gone, in this term. */
    GONE
  }

  /** What the cloud's list says of a machine. */
  public enum Listed {
    /** Nothing that proves anything: there was no list since, or it may be too new for one. */
    UNKNOWN,
    /** It is there. */
    THERE,
    /** It has been listed for longer than a scale-out answer, or a deletion, can be under way. */
    LASTING,
    /** It stopped by itself. */
    FAILED,
    /** It is not in a list that must have it if it is there. */
    MISSING
  }

  /** What its worker does. */
  public enum Worker {
    /** Its heartbeats come. */
    REPORTS,
    /** Its heartbeats come, and for a lease nothing has shown that answers reach it. */
    UNACKNOWLEDGED,
    /** It has reported, and has had nothing to do for as long as an idle machine is kept. */
    IDLE,
    /** Not heard in this term, and it may still come up, or find its way to a new leader. */
    EXPECTED,
    /** Not heard, and it would have come up by now. */
    OVERDUE,
    /** It was heard, and now a heartbeat is missing. */
    SILENT,
    /** Silent for so long that its lease has expired and it has dropped all its tasks. */
    LEASE_EXPIRED
  }
}
