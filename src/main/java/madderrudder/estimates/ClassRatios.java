package madderrudder.estimates;

import java.util.HashMap;
import java.util.Map;

/**
 * For each class, an exponential moving average of the ratio of actual run times to owners'
 * estimates. The controllers use it if learned run times are switched off, and the replay uses it
 * as a baseline for the {@link Estimator}. Not thread-safe; memory grows with the number of
 * classes.
 */
public final class ClassRatios {
  private static final double MAX_RATIO = 4;
  private static final double SMOOTHING_FACTOR = 0.02;

  private final Map<String, Double> ratios = new HashMap<>();

  /**
   * Updates the ratio of the run's class; ignores incomplete runs and runs without an owner's
   * estimate.
   */
  public void observe(TaskRun run) {
    if (!run.complete() || run.ownerEstimateMicros() <= 0) {
      return;
    }
    double ratio = (double) run.durationMicros() / run.ownerEstimateMicros();
    double bounded = Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio));
    ratios.merge(
        run.profile().jobClass(),
        bounded,
        (average, latest) -> average + SMOOTHING_FACTOR * (latest - average));
  }

  /**
   * The owner's estimate multiplied by the ratio of the class, in microseconds; the owner's
   * estimate itself if no run of the class has been observed.
   */
  public long expectedMicros(String jobClass, long ownerEstimateMicros) {
    return (long) (ownerEstimateMicros * ratios.getOrDefault(jobClass, 1.0));
  }
}
