package madderrudder.estimates;

import java.util.HashMap;
import java.util.Map;

/**
 * One ratio of true times to owners' guesses for each class, which follows what tasks take: the
 * first correction that there was, kept as what the estimator is compared with and as what is used
 * where it is not wanted.
 */
public final class ClassRatios {
  private static final double MOST_RATIO = 4;
  private static final double LEARNING = 0.02;

  private final Map<String, Double> ratios = new HashMap<>();

  public void observe(TaskRun run) {
    if (run.complete() && run.guessMicros() > 0) {
      double ratio =
          Math.min(
              MOST_RATIO, Math.max(1 / MOST_RATIO, (double) run.tookMicros() / run.guessMicros()));
      ratios.merge(run.profile().jobClass(), ratio, (old, now) -> old + LEARNING * (now - old));
    }
  }

  public long expectedMicros(String jobClass, long guessMicros) {
    return (long) (guessMicros * ratios.getOrDefault(jobClass, 1.0));
  }
}
