package madderrudder.service;

/**
 * Issues ids that begin at this process's incarnation, so that no two processes of a controller
 * issue the same id. A peer that repeats an id in a response thereby names the process that asked.
 * Confined to the event loop thread.
 */
final class ProcessScopedIds {
  private final long incarnation;
  private long issuedCount;

  /**
   * Creates an issuer that has issued no id.
   *
   * @param incarnation a random number that distinguishes this process from others with the same
   *     name. With 64 random bits, the ids of two processes that issue 2^32 each overlap with a
   *     probability of 2^-31.
   */
  ProcessScopedIds(long incarnation) {
    this.incarnation = incarnation;
  }

  /** Returns a new id; ids wrap around at the ends of the range of {@code long}. */
  long next() {
    issuedCount++;
    return incarnation + issuedCount;
  }

  /** Returns whether this process has issued the id. */
  boolean hasIssued(long id) {
    long position = id - incarnation;
    return position >= 1 && position <= issuedCount;
  }

  /** Returns the number of ids that this process has issued. */
  long issuedCount() {
    return issuedCount;
  }
}
