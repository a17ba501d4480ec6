package madderrudder.coordination.policy;

/**
 * The operators' settings. The name of each setting in the file is given in parentheses.
 *
 * @param rentalThresholdMicros how long a task that would fit on an owned machine waits while all
 *     of them are full before a machine is rented for it, in microseconds ({@code threshold-s})
 * @param scaleOutIntervalMicros the interval between checks whether to scale out for waiting tasks,
 *     in microseconds ({@code poll-s})
 * @param budget the maximum number of counted rentals within the window ({@code budget})
 * @param budgetWindowMicros the length of the budget window, in microseconds ({@code
 *     budget-window-s})
 * @param idleMicros how long a rented machine may be idle before it is returned, in microseconds
 *     ({@code idle-s})
 * @param spotMode which rented machines may be spot machines, for jobs that allow them ({@code
 *     spot})
 * @param leaseMicros the length of the leader's lease in the key-value store, in microseconds
 *     ({@code hold-s})
 * @param headroom the share of all processors, from 0 to 1, that jobs of normal or low priority
 *     leave free where a wait objective is shorter than the time to boot a machine, so that scaling
 *     out could not meet it ({@code headroom})
 * @param spotWaitShare the share, from 0 to 1, of a job's spare time before its deadline that it
 *     waits for spot or owned machines before an on-demand machine is rented for it ({@code
 *     patience})
 * @param delegationEnabled whether other controllers answer heartbeats for a leader that workers
 *     cannot reach ({@code deputies})
 * @param learnedRunTimes whether run times are predicted from completed runs rather than from the
 *     owners' corrected estimates ({@code learned-run-times})
 */
public record OperatorPolicy(
    long rentalThresholdMicros,
    long scaleOutIntervalMicros,
    int budget,
    long budgetWindowMicros,
    long idleMicros,
    SpotMode spotMode,
    long leaseMicros,
    double headroom,
    double spotWaitShare,
    boolean delegationEnabled,
    boolean learnedRunTimes) {
  /** Which rented machines may be spot machines. */
  public enum SpotMode {
    /** No machine is a spot machine. */
    NEVER,
    /** Only rentals that do not count against the budget may be spot machines. */
    UNCOUNTED,
    /** All rented machines may be spot machines. */
    ALWAYS
  }

  /** Returns the default settings, for operators that have set none. */
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
