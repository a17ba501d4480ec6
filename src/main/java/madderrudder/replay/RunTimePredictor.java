package madderrudder.replay;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.estimates.TaskRun;

/** A method to predict run times; a replay asks it before each run and shows it the run then. */
interface RunTimePredictor {
  /** The heading of its column in reports. */
  String name();

  /** Whether its estimates have prediction intervals. */
  default boolean hasIntervals() {
    return false;
  }

  /**
   * The estimate for a run, by what has been observed before it.
   *
   * @param coverage the share of runs that the prediction interval has to contain; ignored by
   *     methods without intervals
   */
  Estimate predict(TaskRun run, double coverage);

  /** Learns from a run. */
  void observe(TaskRun run);

  /** The owner's estimate as it is. */
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
      // Nothing is learned.
    }
  }

  /** One ratio a class: what the controllers do where learned run times are switched off. */
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

  /** An {@link Estimator}. */
  final class Learned implements RunTimePredictor {
    private final LearningMethod method;
    private final Estimator estimator;

    /** {@code maxEntries} bounds the profiles and the jobs that it remembers. */
    Learned(LearningMethod method, int maxEntries) {
      this.method = method;
      estimator = new Estimator(maxEntries, maxEntries, method);
    }

    @Override
    public String name() {
      return switch (method) {
        case HIERARCHICAL -> "learned";
        case NEAREST_LEVEL -> "nearest";
        case HIERARCHICAL_UNBOUNDED -> "forever";
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
