package madderrudder.protocol;

/** The state of a job as its user sees it. */
public enum JobState {
  PENDING,
  RUNNING,
  DONE,
  CANCELLED;

  public boolean isFinal() {
    return this == DONE || this == CANCELLED;
  }
}
