package madderrudder.estimates;

/**
 * A summary of the distribution of a class's ratios of actual run times to owners' estimates.
 *
 * @param jobClass the class of the jobs
 * @param runs the number of runs in the distribution
 * @param low the lower bound of the central interval, as a ratio
 * @param median the median ratio
 * @param high the upper bound of the central interval, as a ratio
 * @param coverage the share of the runs between {@code low} and {@code high}, from 0 to 1
 */
public record ClassSummary(
    String jobClass, int runs, double low, double median, double high, double coverage) {}
