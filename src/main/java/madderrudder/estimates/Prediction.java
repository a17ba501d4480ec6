package madderrudder.estimates;

import java.util.List;
import java.util.Optional;

/**
 * What is predicted of a task before its prediction interval is calibrated.
 *
 * @param distribution the predictive distribution of its run time
 * @param medianMicros the median of the distribution
 * @param logSpreadBelow ln(median / lower quantile), at the reference coverage; above 0
 * @param logSpreadAbove ln(upper quantile / median), at the reference coverage; above 0
 * @param level the level with the largest weight
 * @param runs how many runs of that level it goes by
 */
record Prediction(
    PredictiveDistribution distribution,
    double medianMicros,
    double logSpreadBelow,
    double logSpreadAbove,
    Level level,
    int runs) {
  /**
   * The coverage of the interval that observations are compared with, whatever coverage is asked
   * for. The distance of its bounds from the median is the unit of standardized errors.
   */
  static final double REFERENCE_COVERAGE = 0.8;

  private static final double MIN_LOG_SPREAD = 0.02;
  static final double LOWER_QUANTILE = (1 - REFERENCE_COVERAGE) / 2;
  static final double UPPER_QUANTILE = (1 + REFERENCE_COVERAGE) / 2;

  /** The prediction of the components together; empty if there are none. */
  static Optional<Prediction> of(List<MixtureComponent> components) {
    if (components.isEmpty()) {
      return Optional.empty();
    }
    PredictiveDistribution distribution = new PredictiveDistribution();
    components.forEach(component -> component.addTo(distribution));
    double median = distribution.quantile(0.5);
    double below = Math.log(median / distribution.quantile(LOWER_QUANTILE));
    double above = Math.log(distribution.quantile(UPPER_QUANTILE) / median);
    MixtureComponent heaviest = heaviest(components);
    return Optional.of(
        new Prediction(
            distribution,
            median,
            Math.max(MIN_LOG_SPREAD, below),
            Math.max(MIN_LOG_SPREAD, above),
            heaviest.level(),
            heaviest.runs()));
  }

  private static MixtureComponent heaviest(List<MixtureComponent> components) {
    MixtureComponent heaviest = components.get(0);
    for (MixtureComponent component : components) {
      if (component.weight() > heaviest.weight()) {
        heaviest = component;
      }
    }
    return heaviest;
  }

  /** ln(time / median): above 0 if the time is longer than the median. */
  double logError(double durationMicros) {
    return Math.log(durationMicros / medianMicros);
  }

  /** The logarithmic error divided by the spread on its side. */
  double standardizedError(double durationMicros) {
    double error = logError(durationMicros);
    return error / (error < 0 ? logSpreadBelow : logSpreadAbove);
  }
}
