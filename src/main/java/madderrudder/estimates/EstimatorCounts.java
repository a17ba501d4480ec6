package madderrudder.estimates;

import java.util.function.BiConsumer;

/** What an {@link Estimator} has done since it was created, in counts of runs. */
public final class EstimatorCounts {
  long learned;
  long stopped;
  long refused;
  long setAside;
  long shifts;
  long judged;
  long withinInterval;

  EstimatorCounts() {}

  /** Calls the consumer with each count and its name in the metrics, always in the same order. */
  public void each(BiConsumer<String, Long> consumer) {
    consumer.accept("learned", learned);
    consumer.accept("stopped", stopped);
    consumer.accept("refused", refused);
    consumer.accept("set_aside", setAside);
    consumer.accept("shifts", shifts);
    consumer.accept("judged", judged);
    consumer.accept("within_bounds", withinInterval);
  }
}
