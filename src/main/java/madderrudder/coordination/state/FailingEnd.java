package madderrudder.coordination.state;

/** Why a job no longer counts as one whose tasks fail on every machine. */
public enum FailingEnd {
  /** One of its tasks runs for longer than its failed tasks did. */
  TASK_RUNS("one of its tasks runs"),

  /** None of its tasks has failed for a long time. */
  NO_RECENT_FAILURE("none of its tasks has failed for ten minutes");

  private final String description;

  FailingEnd(String description) {
    this.description = description;
  }

  /** Returns the reason as a clause for a log line. */
  public String description() {
    return description;
  }
}
