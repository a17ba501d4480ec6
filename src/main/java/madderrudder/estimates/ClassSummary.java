package madderrudder.estimates;

/**
 * The distribution of a class's ratios of true run times to owners' estimates.
 *
 * @param jobClass the class
 * @param runs how many runs it goes by
 * @param low the lower quantile, as a factor
 * @param median the median, as a factor
 * @param high the upper quantile, as a factor
 * @param coverage the share of the runs between {@code low} and {@code high}, from 0 to 1
 */
public record ClassSummary(
    String jobClass, int runs, double low, double median, double high, double coverage) {}
