package madderrudder.coordination.reconciliation;

/**
 * What is known of one attempt of a task on one machine, from the records and the newest heartbeat.
 *
 * @param record whether a record names it there, and whose
 * @param desired what is wanted of it
 * @param reported what the newest heartbeat of this term says of it
 * @param mayCome a command to start it may still reach the worker, or may have reached it after the
 *     heartbeat was made
 * @param seen its worker has said in this term that it has it
 * @param durable the record is in the store
 * @param gangState what is known of the other members, for a task of a gang
 */
public record TaskFacts(
    RecordOwner record,
    DesiredState desired,
    ReportedState reported,
    boolean mayCome,
    boolean seen,
    boolean durable,
    GangState gangState) {
  /** Whether the leader's records name the attempt on the machine. */
  public enum RecordOwner {
    /** None does. */
    NONE,
    /** This leader placed it. */
    OWN,
    /**
     * An earlier leader did, whose commands may still be on their way until the worker knows this
     * term.
     */
    EARLIER
  }

  /** What is wanted of a task that is recorded. */
  public enum DesiredState {
    /** It should be there. */
    RUN,
    /**
     * It may stay if it is there; if it is not, work that ranks before it may need its place, which
     * is not decided yet.
     */
    MAY_RUN,
    /** It must go: its job is over, it is done already, or its place is needed. */
    REMOVE,
    /** It has completed here; its worker keeps it until that is durable. */
    KEEP_COMPLETED
  }

  /** What the newest heartbeat of the machine in this term says. */
  public enum ReportedState {
    /** There was none yet. */
    UNREPORTED,
    /** The worker does not have it. */
    ABSENT,
    /** It fetches its image, waits for its gang, runs or saves. */
    PRESENT,
    /** It has completed. */
    COMPLETED,
    /** It has exited otherwise, or its start was refused. */
    EXITED
  }

  /** What is known of the other members of a gang under the same attempt. */
  public enum GangState {
    /** There is no gang, or it is known to be gathering still: a start completes it. */
    GATHERING,
    /**
     * One has run or is gone: a missing member cannot join any more, and the gang goes as a whole.
     */
    STARTED,
    /** Some machine that a member is recorded on has not been heard. */
    UNKNOWN
  }
}
