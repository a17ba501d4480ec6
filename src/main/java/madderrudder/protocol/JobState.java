package madderrudder.protocol;

/** The state of a job as its user sees it. */
public enum JobState {
  /** Accepted, and no task runs. */
  PENDING,
  /** At least one task runs. */
  RUNNING,
  /** All tasks are completed. */
  DONE,
  /** Cancelled by its user. */
  CANCELLED;

  /** Whether the job stays in this state for ever. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
