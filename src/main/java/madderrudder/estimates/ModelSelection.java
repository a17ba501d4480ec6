package madderrudder.estimates;

import java.util.Optional;
import madderrudder.estimates.Estimate.Basis;

/**
 * Evaluates the alternatives of the model on each run, so that later predictions use the one with
 * the smaller loss, and detects change points.
 */
final class ModelSelection {
  /** The upper limit of the loss of a single run. */
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
   * Records for the first task of a job the losses of predictions based on the ratio and on the run
   * time.
   *
   * @param side the position of the run time relative to its prediction interval
   * @return the number of levels at which a change point was detected
   */
  int compareBases(TaskRun run, IntervalSide side, double durationMicros) {
    double ratioLoss = loss(run, Basis.RATIO, durationMicros);
    double durationLoss = loss(run, Basis.TIME, durationMicros);
    long ratio = HistogramScale.toStoredRatio(durationMicros, run.ownerEstimateMicros());
    long duration = HistogramScale.toStoredDuration(durationMicros);
    int changePoints = 0;
    for (Level level : EvidenceStore.LEVELS) {
      Evidence levelEvidence = evidence.find(run.profile(), level);
      if (levelEvidence != null) {
        levelEvidence.recordLosses(ratioLoss, durationLoss);
        if (method.discardsOldRuns() && levelEvidence.detectChangePoint(side, ratio, duration)) {
          changePoints++;
        }
      }
    }
    return changePoints;
  }

  /**
   * Records for a further task of a job whether a large or a small weight of the job's other tasks
   * predicts its run time better.
   */
  void compareSiblingWeights(TaskRun run, double durationMicros) {
    Evidence classEvidence = evidence.find(run.profile(), Level.CLASS);
    if (classEvidence == null) {
      return;
    }
    Basis basis = predictor.basis(run.profile(), run.ownerEstimateMicros());
    double similarLoss = siblingLoss(run, basis, true, durationMicros);
    double dissimilarLoss = siblingLoss(run, basis, false, durationMicros);
    classEvidence.recordSiblingExcessLoss(similarLoss - dissimilarLoss);
  }

  private double siblingLoss(
      TaskRun run, Basis basis, boolean siblingsSimilar, double durationMicros) {
    return loss(
        predictor.predict(run.profile(), run.ownerEstimateMicros(), basis, siblingsSimilar),
        durationMicros);
  }

  private double loss(TaskRun run, Basis basis, double durationMicros) {
    return loss(predictor.predict(run.profile(), run.ownerEstimateMicros(), basis), durationMicros);
  }

  private static double loss(Optional<Prediction> prediction, double durationMicros) {
    return prediction
        .map(predicted -> Math.abs(Math.log(predicted.medianMicros() / durationMicros)))
        .map(error -> Math.min(MAX_LOSS, error))
        .orElse(MAX_LOSS);
  }
}
