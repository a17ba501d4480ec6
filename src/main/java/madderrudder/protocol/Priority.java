package madderrudder.protocol;

/**
 * The priority of a job. The constants are in descending order: the highest has the smallest
 * ordinal.
 */
public enum Priority {
  /** {@code production} on the wire. */
  PRODUCTION,
  /** {@code urgent} on the wire. */
  HIGH,
  /** {@code standard} on the wire. */
  NORMAL,
  /** {@code idle} on the wire. */
  LOW;

  /** Whether this priority is higher than the other. */
  public boolean isHigherThan(Priority other) {
    return compareTo(other) < 0;
  }
}
