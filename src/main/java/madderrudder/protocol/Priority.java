package madderrudder.protocol;

/** Priorities in falling order, so a smaller ordinal goes first. */
public enum Priority {
  PRODUCTION,
  HIGH,
  NORMAL,
  LOW;

  public boolean above(Priority other) {
    return compareTo(other) < 0;
  }
}
