package madderrudder.estimates;

import java.util.List;
import java.util.Optional;

/**
 * The prediction for a task before the calibration of its prediction interval.
 *
 * @param distribution the predictive distribution of the run time
 * @param medianMicros the median of the distribution
 * @param logSpreadBelow ln(median / lower quantile), at the reference coverage; above 0
 * @param logSpreadAbove ln(upper quantile / median), at the reference coverage; above 0
 * @param level the level of the component with the largest weight
 * @param runs the number of runs at that level
 */
record Prediction(
    PredictiveDistribution distribution,
    double medianMicros,
    double logSpreadBelow,
    double logSpreadAbove,
    Level level,
    int runs) {
  /**
   * The nominal coverage of the interval that observations are compared with, independent of the
   * coverage in queries. The log distances of its uncalibrated bounds from the median are the units
   * of standardized errors.
   */
  static final double REFERENCE_COVERAGE = 0.8;

  /**
   * The lower limit of both spreads, which limits standardized errors if nearly all run times are
   * equal.
   */
  private static final double MIN_LOG_SPREAD = 0.02;

  /** The probability of the lower quantile at the reference coverage. */
  static final double LOWER_PROBABILITY = (1 - REFERENCE_COVERAGE) / 2;

  /** The probability of the upper quantile at the reference coverage. */
  static final double UPPER_PROBABILITY = (1 + REFERENCE_COVERAGE) / 2;

  /** The prediction from the mixture of the components; empty if there are none. */
  static Optional<Prediction> of(List<MixtureComponent> components) {
    if (components.isEmpty()) {
      return Optional.empty();
    }
    PredictiveDistribution distribution = new PredictiveDistribution();
    components.forEach(component -> component.addTo(distribution));
    double median = distribution.quantile(0.5);
    double below = Math.log(median / distribution.quantile(LOWER_PROBABILITY));
    double above = Math.log(distribution.quantile(UPPER_PROBABILITY) / median);
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

  /** ln(run time / median), which is positive if the run time exceeds the median. */
  double logError(double durationMicros) {
    return Math.log(durationMicros / medianMicros);
  }

  /** The log error divided by the log spread on the same side of the median. */
  double standardizedError(double durationMicros) {
    double error = logError(durationMicros);
    return error / (error < 0 ? logSpreadBelow : logSpreadAbove);
  }
}
