package madderrudder.service;

/** Why a job can never run. The protocol defines these three reasons only. */
enum RejectionReason {
  /** The platform's settings have no team of this name. */
  UNKNOWN_TEAM("unknown team"),
  /** No machine type that the job and its zone allow is large enough for one of its tasks. */
  NO_MACHINE_TYPE("a task fits no allowed machine type"),
  /** The tasks that must run at the same time need more than the team's limit. */
  OVER_TEAM_LIMIT("more than the team's limit");

  private final String text;

  RejectionReason(String text) {
    this.text = text;
  }

  /** The text of the error that the user receives. */
  String text() {
    return text;
  }
}
