package madderrudder.estimates;

/**
 * The component of one level in a predictive mixture distribution.
 *
 * @param level the level
 * @param histogram the runs at the level, or null for the prior around the owner's estimate
 * @param scale the number of microseconds per unit of the histogram's values; for the prior, the
 *     owner's estimate in microseconds
 * @param weight the weight of the component in the mixture, from 0 to 1
 */
record MixtureComponent(Level level, WindowedHistogram histogram, double scale, double weight) {

  /** The prior around the owner's estimate. */
  static MixtureComponent prior(long ownerEstimateMicros, double weight) {
    return new MixtureComponent(Level.NONE, null, ownerEstimateMicros, weight);
  }

  /** The number of runs in the histogram; 0 for the prior. */
  int runs() {
    return histogram == null ? 0 : histogram.count();
  }

  /** Adds the component with its weight to the distribution. */
  void addTo(PredictiveDistribution distribution) {
    if (histogram == null) {
      distribution.addPrior(scale, weight);
    } else {
      distribution.add(histogram, scale, weight);
    }
  }

  /** The median of this component alone, in microseconds. */
  double medianMicros() {
    PredictiveDistribution alone = new PredictiveDistribution();
    addTo(alone);
    return alone.quantile(0.5);
  }
}
