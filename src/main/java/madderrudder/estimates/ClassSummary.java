package madderrudder.estimates;

/**
 * A summary of the distribution of a class's ratios of actual run times to owners' estimates.
 *
 * @param jobClass the class of the jobs
 * @param runs the number of runs in the distribution
 * @param lowRatio the lower bound of the central interval, as a ratio
 * @param medianRatio the median ratio
 * @param highRatio the upper bound of the central interval, as a ratio
 * @param coverage the share of the runs between {@code lowRatio} and {@code highRatio}, from 0 to 1
 */
public record ClassSummary(
    String jobClass,
    int runs,
    double lowRatio,
    double medianRatio,
    double highRatio,
    double coverage) {}
