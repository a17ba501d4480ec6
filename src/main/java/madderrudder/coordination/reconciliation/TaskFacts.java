package madderrudder.coordination.reconciliation;

/**
 * The facts about one attempt of a task on one machine that {@link TaskReconciler} decides on, from
 * the leader's records and the newest heartbeat of the machine.
 *
 * @param record whether a record places the attempt on the machine, and which leader placed it
 * @param desired the state that the leader wants the attempt to be in
 * @param reported the state of the attempt in the newest heartbeat of this term
 * @param startMayArrive whether a start command for the attempt may still reach the worker, or may
 *     have reached it after the heartbeat was made
 * @param reportedBefore whether the worker has reported the attempt in this term
 * @param durable whether the record is durable in the store
 * @param gangState the state of the other members, for a task of a gang
 */
public record TaskFacts(
    RecordOwner record,
    DesiredState desired,
    ReportedState reported,
    boolean startMayArrive,
    boolean reportedBefore,
    boolean durable,
    GangState gangState) {
  /** Whether a record places the attempt on the machine, and which leader placed it. */
  public enum RecordOwner {
    /** No record places it there. */
    NONE,
    /** This leader placed it. */
    OWN,
    /**
     * An earlier leader placed it. Commands of that leader may still be in flight until the worker
     * has seen the fencing token of this term.
     */
    EARLIER
  }

  /** The state that the leader wants a recorded attempt to be in. */
  public enum DesiredState {
    /** It should run on the machine. */
    RUN,
    /**
     * It may keep running if it is present. If it is absent, it is not started yet, because work
     * that ranks higher may need its place.
     */
    MAY_RUN,
    /** It must stop: its job has ended, the task is already done, or its place is needed. */
    REMOVE,
    /** It has completed here; its worker keeps it until the completion is durable. */
    KEEP_COMPLETED
  }

  /** The state of the attempt in the machine's newest heartbeat of this term. */
  public enum ReportedState {
    /** No heartbeat has arrived in this term. */
    UNREPORTED,
    /** The heartbeat does not contain the attempt. */
    ABSENT,
    /** It fetches its image, waits for its gang, runs or saves a checkpoint. */
    PRESENT,
    /** It has completed. */
    COMPLETED,
    /** It has exited without completing, or its start was refused. */
    EXITED
  }

  /** The state of the other members of a gang under the same attempt. */
  public enum GangState {
    /** The task is in no gang, or its gang is still gathering and the member may join it. */
    GATHERING,
    /**
     * Some member has run or is gone: a missing member can no longer join, and the gang is stopped
     * as a whole.
     */
    STARTED,
    /** Some machine that a member is recorded on has not reported yet. */
    UNKNOWN
  }
}
