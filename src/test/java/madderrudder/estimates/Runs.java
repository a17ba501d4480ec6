package madderrudder.estimates;

import java.util.random.RandomGenerator;
import madderrudder.protocol.Resources;

/** Runs for tests, each of a job of its own unless said otherwise. */
public final class Runs {
  static final long SECOND = 1_000_000;
  private static long last;

  private Runs() {}

  static TaskProfile profile(String job, String jobClass) {
    return new TaskProfile(job, jobClass, "alto", "img", new Resources(4_000, 0, 8_000));
  }

  static TaskRun of(String jobClass, double ownerEstimateS, double durationS) {
    return of("job-" + ++last, 0, jobClass, "m", ownerEstimateS, durationS, true);
  }

  static TaskRun of(
      String job,
      int task,
      String jobClass,
      String machine,
      double ownerEstimateS,
      double durationS,
      boolean complete) {
    return new TaskRun(
        profile(job, jobClass),
        task,
        ++last,
        "",
        machine,
        Math.round(ownerEstimateS * SECOND),
        Math.round(durationS * SECOND),
        complete);
  }

  static Estimate ask(Estimator estimator, String jobClass, double ownerEstimateS) {
    return estimator.estimate(
        new EstimateQuery(
            profile("new", jobClass), Math.round(ownerEstimateS * SECOND), "", 0, 0.8));
  }

  static double logNormal(RandomGenerator random, double deviation) {
    return Math.exp(deviation * random.nextGaussian());
  }
}
