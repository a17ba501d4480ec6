package madderrudder.protocol;

/** The priority of a job, in falling order, so that a smaller ordinal goes first. */
public enum Priority {
  /** The wire's {@code production}. */
  PRODUCTION,
  /** The wire's {@code urgent}. */
  HIGH,
  /** The wire's {@code standard}. */
  NORMAL,
  /** The wire's {@code idle}. */
  LOW;

  /** Whether this priority is higher than the other. */
  public boolean above(Priority other) {
    return compareTo(other) < 0;
  }
}
