package madderrudder.coordination.policy;

/**
 * The operators' choices. The settings' names on file are given in parentheses.
 *
 * @param thresholdMicros how long a task that would fit an owned machine waits while these are
 *     full, before a machine is rented for it, in microseconds ({@code threshold-s})
 * @param pollMicros the period at which waiting tasks are considered for scaling out, in
 *     microseconds ({@code poll-s})
 * @param budget how many counted rentals there may be within the window ({@code budget})
 * @param budgetWindowMicros the window of the budget, in microseconds ({@code budget-window-s})
 * @param idleMicros how long a rented machine may be idle before it is returned, in microseconds
 *     ({@code idle-s})
 * @param spotMode which rented machines may be spot machines, for jobs that allow them ({@code
 *     spot})
 * @param leaseMicros the length of the leader's lease in the key-value store, in microseconds
 *     ({@code hold-s})
 * @param headroom the share of all processors, from 0 to 1, that work of ordinary priority leaves
 *     free where waits are wanted shorter than a machine takes to boot, so that scaling out could
 *     not meet them ({@code headroom})
 * @param patience the share, from 0 to 1, of the time a job has to spare that it waits for capacity
 *     on spot or owned machines before an on-demand machine is rented for it ({@code patience})
 * @param delegation whether controllers answer heartbeats for a leader that can't be reached
 *     ({@code deputies})
 * @param learnedRunTimes whether run times are learned from what has run, rather than the owners'
 *     estimates corrected ({@code learned-run-times})
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
  /** Which rented machines may be spot machines. */
  public enum SpotMode {
    /** None. */
    NEVER,
    /** Those that are not counted in the budget. */
    UNCOUNTED,
    /** All. */
    ALWAYS
  }

  /** The choices that hold where the operators have made none. */
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
