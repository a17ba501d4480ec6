package madderrudder.estimates;

/**
 * One level's part in a predictive distribution.
 *
 * @param level the level
 * @param histogram what has run at the level, or null for the prior around the owner's estimate
 * @param scale how many microseconds one unit of the histogram's values stands for; for the prior,
 *     the owner's estimate in microseconds
 * @param weight its share of the distribution, from 0 to 1
 */
record MixtureComponent(Level level, WindowedHistogram histogram, double scale, double weight) {

  static MixtureComponent prior(long ownerEstimateMicros, double weight) {
    return new MixtureComponent(Level.NONE, null, ownerEstimateMicros, weight);
  }

  /** How many runs it goes by; 0 for the prior. */
  int runs() {
    return histogram == null ? 0 : histogram.count();
  }

  void addTo(PredictiveDistribution distribution) {
    if (histogram == null) {
      distribution.addPrior(scale, weight);
    } else {
      distribution.add(histogram, scale, weight);
    }
  }

  /** The median of this component alone. */
  double medianMicros() {
    PredictiveDistribution alone = new PredictiveDistribution();
    addTo(alone);
    return alone.quantile(0.5);
  }
}
