package madderrudder.coordination.cloud;

/** The outcome of a request to delete machines. */
public enum DeleteResult {
  /** The machines and everything on them are gone. */
  DELETED,
  /** The cloud may or may not have deleted them: repeat the request. Unknown names are ignored. */
  UNKNOWN
}
