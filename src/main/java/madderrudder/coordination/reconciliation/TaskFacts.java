package madderrudder.coordination.reconciliation;

/**
 * What is known of one attempt of a task on one machine: what the records say and what the newest
 * report does.
 *
 * @param record whether a record names it there, and whose
 * @param wish what is wanted of it
 * @param told what the newest report of this term says of it
 * @param mayCome a command to start it may still reach the worker, or may have reached it after the
 *     report was made
 * @param seen its worker has said in this term that it has it
 * @param durable the record is in the store
 * @param gang what is known of its mates, for a task of a gang
 */
public record TaskFacts(
    RecordOwner record,
    DesiredState wish,
    ReportedState told,
    boolean mayCome,
    boolean seen,
    boolean durable,
    GangState gang) {
  /** Whether the leader's records name the attempt on the machine. */
  public enum RecordOwner {
    /** None does. */
    NONE,
    /** This leader placed it. */
    OWN,
    /**
     * An earlier leader did; whose commands may still be on their way until the worker knows this
     * term.
     */
    EARLIER
  }

  /** What is wanted of a task that is recorded. */
  public enum DesiredState {
    /** It shall be there. */
    RUN,
    /**
     * It may be there if it is; if not, what comes before it may need its room, which is not
     * decided yet.
     */
    MAY_RUN,
    /** It shall not: its job is over or it is done already, or its room is needed. */
    REMOVE,
    /** It has completed here; its worker keeps it until that is durable. */
    KEEP_COMPLETED
  }

  /** What the newest report of the machine in this term says. */
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

  /** What is known of the mates of a gang's task, under the same attempt. */
  public enum GangState {
    /** No gang, or all that matters of it is known to be gathering: a start completes it. */
    GATHERING,
    /**
     * One has run or is gone: what is missing can't join any more, and the gang goes as a whole.
     */
    STARTED,
    /** Some machine that a mate is recorded on has not been heard. */
    UNKNOWN
  }
}
