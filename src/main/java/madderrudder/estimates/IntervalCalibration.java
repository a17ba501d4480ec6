package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import madderrudder.util.BoundedMap;

/**
 * Derives the bounds of prediction intervals from the errors of recent similar predictions
 * (conformal prediction), so that the actual coverage of the intervals matches the nominal one.
 */
final class IntervalCalibration {
  /** The minimum number of scores of a class; below it, the scores of all classes are used. */
  private static final int MIN_CLASS_SCORES = 100;

  /** The minimum number of scores of all classes; below it, intervals are not calibrated. */
  private static final int MIN_SCORES = 20;

  private final Map<CalibrationKey, CalibrationScores> scoresByKey;

  IntervalCalibration(int maxKeys) {
    scoresByKey = BoundedMap.evictingLeastRecentlyUsed(maxKeys);
  }

  /**
   * Records the standardized error of the prediction for the calibration of later intervals.
   *
   * @return the position of the run time relative to the interval at the reference coverage, as
   *     calibrated before this run
   */
  IntervalSide record(TaskProfile profile, Prediction prediction, double durationMicros) {
    IntervalSide side = side(profile, prediction, durationMicros);
    double score = prediction.standardizedError(durationMicros);
    List<CalibrationKey> keys =
        List.of(
            CalibrationKey.ofClass(profile.jobClass(), prediction),
            CalibrationKey.ofAllClasses(prediction));
    for (CalibrationKey key : keys) {
      scoresByKey.computeIfAbsent(key, added -> new CalibrationScores()).add(score);
    }
    return side;
  }

  private IntervalSide side(TaskProfile profile, Prediction prediction, double durationMicros) {
    double coverage = Prediction.REFERENCE_COVERAGE;
    if (durationMicros > upperBoundMicros(profile, prediction, coverage)) {
      return IntervalSide.ABOVE;
    }
    if (durationMicros < lowerBoundMicros(profile, prediction, coverage)) {
      return IntervalSide.BELOW;
    }
    return IntervalSide.INSIDE;
  }

  /**
   * The scores of similar predictions: those of the class if there are enough, otherwise those of
   * all classes; empty if these are too few as well.
   */
  Optional<CalibrationScores> scores(TaskProfile profile, Prediction prediction) {
    CalibrationScores classScores =
        scoresByKey.get(CalibrationKey.ofClass(profile.jobClass(), prediction));
    if (classScores != null && classScores.count() >= MIN_CLASS_SCORES) {
      return Optional.of(classScores);
    }
    return Optional.ofNullable(scoresByKey.get(CalibrationKey.ofAllClasses(prediction)))
        .filter(scores -> scores.count() >= MIN_SCORES);
  }

  /**
   * The upper bound of the prediction interval in microseconds; a quantile of the predictive
   * distribution if there are too few scores.
   */
  double upperBoundMicros(TaskProfile profile, Prediction prediction, double coverage) {
    double tailProbability = (1 - coverage) / 2;
    double bound =
        scores(profile, prediction)
            .map(scores -> scores.quantileAbove(tailProbability) * prediction.logSpreadAbove())
            .map(logDistance -> prediction.medianMicros() * Math.exp(logDistance))
            .orElseGet(() -> prediction.distribution().quantile(1 - tailProbability));
    return Math.min(bound, HistogramScale.MAX_FACTOR * prediction.medianMicros());
  }

  /** The lower bound of the prediction interval; see {@link #upperBoundMicros}. */
  double lowerBoundMicros(TaskProfile profile, Prediction prediction, double coverage) {
    double tailProbability = (1 - coverage) / 2;
    double bound =
        scores(profile, prediction)
            .map(scores -> -scores.quantileBelow(tailProbability) * prediction.logSpreadBelow())
            .map(logDistance -> prediction.medianMicros() * Math.exp(logDistance))
            .orElseGet(() -> prediction.distribution().quantile(tailProbability));
    return Math.max(bound, prediction.medianMicros() / HistogramScale.MAX_FACTOR);
  }

  /** Merges the scores of the other instance into this one. */
  void merge(IntervalCalibration other) {
    other.scoresByKey.forEach(
        (key, scores) ->
            scoresByKey.computeIfAbsent(key, added -> new CalibrationScores()).merge(scores));
  }

  /** A live view of all scores, the least recently used first. */
  Map<CalibrationKey, CalibrationScores> scoresByKey() {
    return scoresByKey;
  }
}
