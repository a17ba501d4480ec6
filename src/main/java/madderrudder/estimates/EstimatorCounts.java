package madderrudder.estimates;

import java.util.function.BiConsumer;

/** Counts of runs that an {@link Estimator} has processed since it was created, by outcome. */
public final class EstimatorCounts {
  /** Runs added to the evidence, including imputed run times of incomplete runs. */
  long learned;

  /** Incomplete runs. */
  long censored;

  /** Implausible runs. */
  long rejected;

  /** Complete runs excluded from learning because their machine was slow. */
  long excluded;

  /** Change points, counted once per level. */
  long changePoints;

  /** Complete runs whose run time was compared with its prediction. */
  long evaluated;

  /** Evaluated runs that ended within the prediction interval. */
  long withinInterval;

  EstimatorCounts() {}

  /** Passes each count with its metric name to the consumer, always in the same order. */
  public void forEach(BiConsumer<String, Long> consumer) {
    consumer.accept("learned", learned);
    consumer.accept("stopped", censored);
    consumer.accept("refused", rejected);
    consumer.accept("set_aside", excluded);
    consumer.accept("shifts", changePoints);
    consumer.accept("judged", evaluated);
    consumer.accept("within_bounds", withinInterval);
  }
}
