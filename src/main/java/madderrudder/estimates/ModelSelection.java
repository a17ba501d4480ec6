package madderrudder.estimates;

import java.util.Optional;
import madderrudder.estimates.Estimate.Basis;

/**
 * Compares, run by run, what the alternatives of the model would have predicted, so that later
 * predictions use the better one; and looks for change points.
 */
final class ModelSelection {
  /** No single run counts with a larger loss. */
  static final double MAX_LOSS = 3;

  private final EvidenceStore evidence;
  private final Predictor predictor;
  private final LearningMethod method;

  ModelSelection(EvidenceStore evidence, Predictor predictor, LearningMethod method) {
    this.evidence = evidence;
    this.predictor = predictor;
    this.method = method;
  }

  /**
   * Of a job's first task: records how well the ratio and the run time would have predicted it.
   *
   * @param side where it ended, seen from its prediction interval
   * @return at how many levels this is a change point
   */
  int compareBases(TaskRun run, IntervalSide side, double durationMicros) {
    double ratioLoss = loss(run, Basis.RATIO, durationMicros);
    double durationLoss = loss(run, Basis.TIME, durationMicros);
    long ratio = HistogramScale.ratio(durationMicros, run.ownerEstimateMicros());
    long duration = HistogramScale.duration(durationMicros);
    int changePoints = 0;
    for (Level level : EvidenceStore.LEVELS) {
      Evidence known = evidence.find(run.profile(), level);
      if (known != null) {
        known.recordLosses(ratioLoss, durationLoss);
        if (method.forgets() && known.detectChangePoint(side, ratio, duration)) {
          changePoints++;
        }
      }
    }
    return changePoints;
  }

  /**
   * Of a job's further tasks: records whether its other tasks predicted it better than other jobs.
   */
  void compareSiblings(TaskRun run, double durationMicros) {
    Evidence known = evidence.find(run.profile(), Level.CLASS);
    if (known == null) {
      return;
    }
    Basis basis = predictor.basis(run.profile(), run.ownerEstimateMicros());
    double alikeLoss = siblingLoss(run, basis, true, durationMicros);
    double unlikeLoss = siblingLoss(run, basis, false, durationMicros);
    known.recordSiblingExcessLoss(alikeLoss - unlikeLoss);
  }

  private double siblingLoss(
      TaskRun run, Basis basis, boolean siblingsAlike, double durationMicros) {
    return loss(
        predictor.predict(run.profile(), run.ownerEstimateMicros(), basis, siblingsAlike),
        durationMicros);
  }

  private double loss(TaskRun run, Basis basis, double durationMicros) {
    return loss(predictor.predict(run.profile(), run.ownerEstimateMicros(), basis), durationMicros);
  }

  private static double loss(Optional<Prediction> prediction, double durationMicros) {
    return prediction
        .map(known -> Math.abs(Math.log(known.medianMicros() / durationMicros)))
        .map(error -> Math.min(MAX_LOSS, error))
        .orElse(MAX_LOSS);
  }
}
