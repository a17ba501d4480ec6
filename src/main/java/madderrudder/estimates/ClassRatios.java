package madderrudder.estimates;

import java.util.HashMap;
import java.util.Map;

/**
 * One ratio of true run times to owners' estimates for each class, an exponential moving average.
 * The controllers use it where learned run times are switched off, and the replay compares the
 * {@link Estimator} with it. Not safe for use by several threads; memory grows with the number of
 * classes.
 */
public final class ClassRatios {
  private static final double MAX_RATIO = 4;
  private static final double SMOOTHING_FACTOR = 0.02;

  private final Map<String, Double> ratios = new HashMap<>();

  /** Takes in a run; one that is not complete, or has no owner's estimate, changes nothing. */
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
   * The owner's estimate corrected by the ratio of the class, in microseconds. As long as no run of
   * the class has been observed, it is the owner's estimate itself.
   */
  public long expectedMicros(String jobClass, long ownerEstimateMicros) {
    return (long) (ownerEstimateMicros * ratios.getOrDefault(jobClass, 1.0));
  }
}
