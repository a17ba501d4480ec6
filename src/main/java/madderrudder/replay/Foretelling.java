package madderrudder.replay;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.Estimate.Basis;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.estimates.Level;
import madderrudder.estimates.TaskRun;

/** A way to foretell run times, asked before each run and told of it afterwards. */
interface Foretelling {
  String name();

  /** Whether its bounds promise anything. */
  default boolean hasBounds() {
    return false;
  }

  Estimate before(TaskRun run, double share);

  void after(TaskRun run);

  private static Estimate plain(long micros) {
    return new Estimate(micros, micros, micros, 0, 0, Level.NONE, Basis.RATIO);
  }

  /** The owner's guess as it is. */
  static Foretelling guess() {
    return new Foretelling() {
      @Override
      public String name() {
        return "guess";
      }

      @Override
      public Estimate before(TaskRun run, double share) {
        return plain(run.ownerEstimateMicros());
      }

      @Override
      public void after(TaskRun run) {
        // A guess learns nothing.
      }
    };
  }

  /** One ratio a class: what schedulers do with learned run times switched off. */
  static Foretelling ratio() {
    ClassRatios ratios = new ClassRatios();
    return new Foretelling() {
      @Override
      public String name() {
        return "ratio";
      }

      @Override
      public Estimate before(TaskRun run, double share) {
        return plain(ratios.expectedMicros(run.profile().jobClass(), run.ownerEstimateMicros()));
      }

      @Override
      public void after(TaskRun run) {
        ratios.observe(run);
      }
    };
  }

  static Foretelling learned(String name, Estimator estimator) {
    return new Foretelling() {
      @Override
      public String name() {
        return name;
      }

      @Override
      public boolean hasBounds() {
        return true;
      }

      @Override
      public Estimate before(TaskRun run, double share) {
        return estimator.estimate(
            new EstimateQuery(
                run.profile(), run.ownerEstimateMicros(), run.machineType(), 0, share));
      }

      @Override
      public void after(TaskRun run) {
        estimator.observe(run);
      }
    };
  }

  static Foretelling learned(LearningMethod way, int mostKinds) {
    String name =
        switch (way) {
          case HIERARCHICAL -> "learned";
          case NEAREST_LEVEL -> "nearest";
          case HIERARCHICAL_UNBOUNDED -> "forever";
        };
    return learned(name, new Estimator(mostKinds, mostKinds, way));
  }
}
