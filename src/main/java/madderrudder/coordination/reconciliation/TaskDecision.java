package madderrudder.coordination.reconciliation;

/**
 * The leader's decision on one attempt of a task on one machine; {@code docs/cold-start.md} has the
 * decision table.
 *
 * @param verdict the action to take
 * @param reason the reason for the verdict, for the log
 */
public record TaskDecision(Verdict verdict, String reason) {
  /** The action to take on an attempt on a machine. */
  public enum Verdict {
    /** Leave the attempt as it is and send no command. */
    KEEP,
    /** Take no action until more is known; the attempt counts as being on the machine. */
    AWAIT,
    /** Tell the worker to start the attempt. */
    START,
    /** Tell the worker to stop the attempt. */
    STOP,
    /** Record the completion; the worker keeps the completed task until the record is durable. */
    RECORD_DONE,
    /** Record the exit and remove the assignment. */
    RECORD_EXIT,
    /**
     * Release the assignment by removing its record, so that the task may be placed again: the
     * attempt is certainly not on the machine and can no longer start there.
     */
    RELEASE,
    /** Tell the worker to forget the exited attempt. */
    FORGET
  }
}
