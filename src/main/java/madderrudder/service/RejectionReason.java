package madderrudder.service;

/** Why a job can never run; the protocol names these three reasons. */
enum RejectionReason {
  /** The platform's settings name no such team. */
  UNKNOWN_TEAM("unknown team"),
  /** No machine type that the job allows is large enough for one of its tasks. */
  NO_MACHINE_TYPE("a task fits no allowed machine type"),
  /** What must run at the same time exceeds the team's limit. */
  OVER_TEAM_LIMIT("more than the team's limit");

  private final String text;

  RejectionReason(String text) {
    this.text = text;
  }

  /** The reason as users are told. */
  String text() {
    return text;
  }
}
