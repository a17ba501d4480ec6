package madderrudder.coordination.cloud;

/** The outcome of a request to delete machines. */
public enum DeleteResult {
  /** The cloud has deleted the machines and everything on them. */
  DELETED,
  /**
   * The cloud may or may not have deleted them. The request must be repeated; the cloud ignores
   * machines that it has already deleted.
   */
  UNKNOWN
}
