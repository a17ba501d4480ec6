package madderrudder.estimates;

import java.util.random.RandomGenerator;
import madderrudder.protocol.Resources;

/** Creates task runs and estimates for tests. */
public final class TaskRunFixture {
  static final long MICROS_PER_SECOND = 1_000_000;

  /** The last number used for a job name or an attempt. */
  private static long lastId;

  private TaskRunFixture() {}

  static TaskProfile profile(String job, String jobClass) {
    return new TaskProfile(job, jobClass, "alto", "img", Resources.of(4, 0, 8));
  }

  /** A complete run of the only task of a new job; times are in seconds. */
  static TaskRun run(String jobClass, double ownerEstimateS, double durationS) {
    return run("job-" + ++lastId, 0, jobClass, "m", ownerEstimateS, durationS, true);
  }

  /** A run of a task in a new attempt; times are in seconds. */
  static TaskRun run(
      String job,
      int taskIndex,
      String jobClass,
      String machine,
      double ownerEstimateS,
      double durationS,
      boolean complete) {
    return new TaskRun(
        profile(job, jobClass),
        taskIndex,
        ++lastId,
        "",
        machine,
        Math.round(ownerEstimateS * MICROS_PER_SECOND),
        Math.round(durationS * MICROS_PER_SECOND),
        complete);
  }

  /** The estimate for a task of a new job of the class, at a coverage of 0.8. */
  static Estimate estimate(Estimator estimator, String jobClass, double ownerEstimateS) {
    return estimator.estimate(
        new EstimateQuery(
            profile("new", jobClass), Math.round(ownerEstimateS * MICROS_PER_SECOND), "", 0, 0.8));
  }

  /**
   * A log-normal factor with median 1; {@code sigma} is the standard deviation of its logarithm.
   */
  static double logNormal(RandomGenerator random, double sigma) {
    return Math.exp(sigma * random.nextGaussian());
  }
}
