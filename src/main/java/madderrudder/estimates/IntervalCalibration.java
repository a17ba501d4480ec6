package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import madderrudder.util.BoundedMap;

/**
 * Sets the bounds of prediction intervals by how far similar predictions have missed lately
 * (conformal prediction), so that intervals have the coverage that they promise.
 */
final class IntervalCalibration {
  /** A class's own scores are used from this count on, before it those of all classes. */
  private static final int MIN_CLASS_SCORES = 100;

  private static final int MIN_SCORES = 20;

  private final Map<CalibrationKey, CalibrationScores> scoresByKey;

  IntervalCalibration(int maxKeys) {
    scoresByKey = BoundedMap.evictingLeastRecentlyUsed(maxKeys);
  }

  /**
   * Records how far the run ended from its prediction, for the intervals of later ones.
   *
   * @return where it ended, seen from the interval of the reference coverage as it was until now
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
    if (durationMicros > upperMicros(profile, prediction, coverage)) {
      return IntervalSide.ABOVE;
    }
    if (durationMicros < lowerMicros(profile, prediction, coverage)) {
      return IntervalSide.BELOW;
    }
    return IntervalSide.INSIDE;
  }

  /**
   * The scores of similar predictions: the class's own if there are enough of them, otherwise those
   * of all classes; empty if there are not enough of these either.
   */
  Optional<CalibrationScores> scores(TaskProfile profile, Prediction prediction) {
    CalibrationScores own = scoresByKey.get(CalibrationKey.ofClass(profile.jobClass(), prediction));
    if (own != null && own.count() >= MIN_CLASS_SCORES) {
      return Optional.of(own);
    }
    return Optional.ofNullable(scoresByKey.get(CalibrationKey.ofAllClasses(prediction)))
        .filter(all -> all.count() >= MIN_SCORES);
  }

  /**
   * The upper bound of the prediction interval; a quantile of the predictive distribution where no
   * scores are known.
   */
  double upperMicros(TaskProfile profile, Prediction prediction, double coverage) {
    double tail = (1 - coverage) / 2;
    double bound =
        scores(profile, prediction)
            .map(scores -> scores.quantileAbove(tail) * prediction.logSpreadAbove())
            .map(logDistance -> prediction.medianMicros() * Math.exp(logDistance))
            .orElseGet(() -> prediction.distribution().quantile(1 - tail));
    return Math.min(bound, HistogramScale.MAX_FACTOR * prediction.medianMicros());
  }

  /** The lower bound; see {@link #upperMicros}. */
  double lowerMicros(TaskProfile profile, Prediction prediction, double coverage) {
    double tail = (1 - coverage) / 2;
    double bound =
        scores(profile, prediction)
            .map(scores -> -scores.quantileBelow(tail) * prediction.logSpreadBelow())
            .map(logDistance -> prediction.medianMicros() * Math.exp(logDistance))
            .orElseGet(() -> prediction.distribution().quantile(tail));
    return Math.max(bound, prediction.medianMicros() / HistogramScale.MAX_FACTOR);
  }

  /** Takes in the scores of another. */
  void merge(IntervalCalibration other) {
    other.scoresByKey.forEach(
        (key, scores) ->
            scoresByKey.computeIfAbsent(key, added -> new CalibrationScores()).merge(scores));
  }

  /** All scores, the least recently used first. */
  Map<CalibrationKey, CalibrationScores> scoresByKey() {
    return scoresByKey;
  }
}
