package madderrudder.replay;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.estimates.TaskRun;

/**
 * A method to predict run times. For each run, a replay calls {@link #predict} first and {@link
 * #observe} afterwards.
 */
interface RunTimePredictor {
  /** Returns the name of the predictor, which is the heading of its column in reports. */
  String name();

  /** Returns whether the estimates have prediction intervals. */
  default boolean hasIntervals() {
    return false;
  }

  /**
   * Returns the estimate for a run, based on the runs observed before it.
   *
   * @param run the run, whose actual run time is not used
   * @param coverage the share of runs that the prediction interval has to contain, between 0 and 1;
   *     ignored by methods without intervals
   */
  Estimate predict(TaskRun run, double coverage);

  /** Updates the model with a run that has ended. */
  void observe(TaskRun run);

  /** Predicts the owner's estimate without a correction. */
  final class OwnerEstimate implements RunTimePredictor {
    @Override
    public String name() {
      return "guess";
    }

    @Override
    public Estimate predict(TaskRun run, double coverage) {
      return Estimate.ofPoint(run.ownerEstimateMicros());
    }

    @Override
    public void observe(TaskRun run) {
      // The owner's estimate does not depend on earlier runs.
    }
  }

  /**
   * Corrects the owner's estimate by one ratio per job class, as the controllers do when learned
   * run times are switched off.
   */
  final class ClassRatio implements RunTimePredictor {
    private final ClassRatios ratios = new ClassRatios();

    @Override
    public String name() {
      return "ratio";
    }

    @Override
    public Estimate predict(TaskRun run, double coverage) {
      String jobClass = run.profile().jobClass();
      return Estimate.ofPoint(ratios.expectedMicros(jobClass, run.ownerEstimateMicros()));
    }

    @Override
    public void observe(TaskRun run) {
      ratios.observe(run);
    }
  }

  /** Predicts with an {@link Estimator} that learns from the observed runs. */
  final class Learned implements RunTimePredictor {
    private final LearningMethod method;
    private final Estimator estimator;

    /**
     * Creates a predictor.
     *
     * @param method how the estimator combines the levels
     * @param maxEntries the limit on the profiles, and on the jobs, that the estimator remembers
     */
    Learned(LearningMethod method, int maxEntries) {
      this.method = method;
      estimator = new Estimator(maxEntries, maxEntries, method);
    }

    @Override
    public String name() {
      return switch (method) {
        case HIERARCHICAL -> "learned";
        case MOST_SPECIFIC_LEVEL -> "nearest";
        case HIERARCHICAL_ALL_RUNS -> "forever";
      };
    }

    @Override
    public boolean hasIntervals() {
      return true;
    }

    @Override
    public Estimate predict(TaskRun run, double coverage) {
      return estimator.estimate(
          new EstimateQuery(
              run.profile(), run.ownerEstimateMicros(), run.machineType(), 0, coverage));
    }

    @Override
    public void observe(TaskRun run) {
      estimator.observe(run);
    }
  }
}
