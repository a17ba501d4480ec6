package madderrudder.coordination.reconciliation;

/**
 * The facts about one machine that {@link MachineReconciler} decides on, from the leader's log, the
 * cloud's list and the heartbeats of the machine's worker.
 *
 * @param recorded whether the leader's log contains the machine
 * @param owned whether the machine is owned rather than rented
 * @param returning whether its return to the cloud is already decided
 * @param listed its state in the cloud's list
 * @param worker the state of its worker
 * @param empty whether no task is, or may be, on it
 * @param mostMachinesSilent whether at least as many machines have an expired lease as are up,
 *     which means that the leader rather than the machine is probably cut off
 */
public record MachineFacts(
    Recorded recorded,
    boolean owned,
    boolean returning,
    Listed listed,
    Worker worker,
    boolean empty,
    boolean mostMachinesSilent) {
  /** Whether the leader's log contains a machine. */
  public enum Recorded {
    /** The log does not contain it. */
    NO,
    /** The log contains it. */
    YES,
    /** It was removed in this term: its deletion was confirmed, or it was found gone. */
    REMOVED
  }

  /** The state of a machine in the cloud's list. */
  public enum Listed {
    /** Inconclusive: no list was received since, or the machine may be too new to be listed. */
    UNKNOWN,
    /** The machine is listed. */
    LISTED,
    /** Listed for longer than a scale-out response or a deletion can be in flight. */
    LISTED_FOR_LONG,
    /** Listed as failed: it stopped without being deleted. */
    FAILED,
    /** Absent from a list that would contain it if it existed. */
    MISSING
  }

  /** The state of the worker on a machine. */
  public enum Worker {
    /** Its heartbeats arrive. */
    REPORTS,
    /** Its heartbeats arrive, but it has acknowledged no answer for a whole lease. */
    UNACKNOWLEDGED,
    /** It has reported, and has had no task for longer than an idle machine is kept. */
    IDLE,
    /** No heartbeat in this term; the machine may still boot or connect to the new leader. */
    EXPECTED,
    /** No heartbeat in this term, although the machine should have booted by now. */
    OVERDUE,
    /** It has reported, but its next heartbeat is late. */
    SILENT,
    /** Silent for so long that its lease has expired and it has stopped all its tasks. */
    LEASE_EXPIRED
  }
}
