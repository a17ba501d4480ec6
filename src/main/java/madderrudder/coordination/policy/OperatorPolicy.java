package madderrudder.coordination.policy;

/**
 * The operators' choices. {@code spotMode} says which rentals may take cheap machines for jobs that
 * allow them. {@code headroom} is the share of all processors that work of ordinary priority leaves
 * free where waits are wanted shorter than a machine takes to boot, so that renting could not meet
 * them. {@code patience} is the share of the time a job has to spare that it waits for cheap or
 * owned room before a steady machine is rented for it. {@code delegation}: controllers answer
 * workers for a leader that can't be reached. {@code learned}: run times are learned from what has
 * run, rather than owners' guesses corrected.
 */
public record OperatorPolicy(
    long thresholdMicros,
    long pollMicros,
    int budget,
    long budgetWindowMicros,
    long idleMicros,
    SpotMode spotMode,
    long leaseMicros,
    double headroom,
    double patience,
    boolean delegation,
    boolean learnedRunTimes) {
  /** Which rentals may be of the cheap kind. */
  public enum SpotMode {
    NEVER,
    UNCOUNTED,
    ALWAYS
  }

  public static OperatorPolicy defaults() {
    return new OperatorPolicy(
        20_000_000,
        5_000_000,
        10,
        300_000_000,
        60_000_000,
        SpotMode.UNCOUNTED,
        3_000_000,
        0,
        0,
        false,
        false);
  }
}
