package madderrudder.coordination.heartbeat;

/** How a heartbeat relates to what is already known of its worker. */
public enum Freshness {
  /** It is newer than anything known of its worker. */
  NEW,
  /**
   * The response to a direct command has overtaken it: it says nothing new, but its worker still
   * waits for an answer to it.
   */
  OVERTAKEN,
  /** Its worker has moved on since and ignores any answer to it. */
  STALE
}
