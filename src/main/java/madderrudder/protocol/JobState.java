package madderrudder.protocol;

/** The state of a job in the responses to its user. */
public enum JobState {
  /** Accepted; no task runs. */
  PENDING,
  /** At least one task runs. */
  RUNNING,
  /** All tasks have completed. */
  DONE,
  /** Cancelled by its user. */
  CANCELLED;

  /** Whether the job can't leave this state. */
  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
