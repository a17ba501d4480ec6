package madderrudder.replay;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.EndedRun;
import org.HdrHistogram.Histogram;

/**
 * Replays a history in its order: each predictor predicts the time of a run, and then observes the
 * run. Stopped runs are observed but not predicted, since their full run times are not known.
 */
public final class Replay {
  /** The nominal coverage of the prediction intervals for which all predictors are scored. */
  public static final double NOMINAL_COVERAGE = 0.8;

  /** The nominal coverages for which the prediction intervals of the last predictor are checked. */
  static final List<Double> CHECKED_COVERAGES = List.of(0.5, 0.6, 0.7, 0.8, 0.9, 0.95);

  /** The number of predicted runs in one chunk of the scores over the history. */
  static final int RUNS_PER_CHUNK = 1_000;

  /** The name of the generator's oracle in the scores and in reports. */
  static final String ORACLE_NAME = "best";

  /** The largest duration in the histograms; longer ones are recorded as this one. */
  private static final long MAX_RECORDED_NANOS = 10_000_000_000L;

  private static final int SIGNIFICANT_DIGITS = 3;

  private final List<RunTimePredictor> predictors;

  /** The last of the predictors: its calls are timed and its prediction intervals are checked. */
  private final RunTimePredictor primary;

  private final Map<String, PredictionScore> scores = new LinkedHashMap<>();
  private final Map<String, long[]> containedRunsByClass = new TreeMap<>();
  private final Histogram predictionNanos = new Histogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram observationNanos = new Histogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
  private long predictedRuns;
  private long stoppedRuns;
  private long implausibleRuns;
  private long runsOutOfOrder;
  private long lastEndMicros = Long.MIN_VALUE;

  /**
   * Creates a replay that has not processed any run.
   *
   * @param predictors the predictors in the order of the reports; the calls of the last one are
   *     timed, and its prediction intervals are checked for each of {@link #CHECKED_COVERAGES}
   */
  Replay(List<RunTimePredictor> predictors) {
    this.predictors = new ArrayList<>(predictors);
    primary = predictors.get(predictors.size() - 1);
    predictors.forEach(predictor -> scores.put(predictor.name(), new PredictionScore()));
  }

  /**
   * Processes the next run.
   *
   * @param ended the run and the time of its end
   * @param oracleMicros the run time that the generator's oracle predicts, in microseconds, or 0 if
   *     there is none
   */
  void accept(EndedRun ended, long oracleMicros) {
    TaskRun run = ended.run();
    if (ended.atWallMicros() < lastEndMicros) {
      runsOutOfOrder++;
    }
    lastEndMicros = ended.atWallMicros();
    if (!run.isPlausible()) {
      implausibleRuns++;
      return;
    }
    if (run.complete()) {
      scorePredictions(run, oracleMicros);
    } else {
      stoppedRuns++;
    }
    predictors.forEach(predictor -> observe(predictor, run));
  }

  private void observe(RunTimePredictor predictor, TaskRun run) {
    long startNanos = System.nanoTime();
    predictor.observe(run);
    if (predictor == primary) {
      recordElapsed(observationNanos, startNanos);
    }
  }

  private void scorePredictions(TaskRun run, long oracleMicros) {
    int chunk = (int) (predictedRuns++ / RUNS_PER_CHUNK);
    for (RunTimePredictor predictor : predictors) {
      long startNanos = System.nanoTime();
      Estimate estimate = predictor.predict(run, NOMINAL_COVERAGE);
      if (predictor == primary) {
        recordElapsed(predictionNanos, startNanos);
        countContained(run);
      }
      scores.get(predictor.name()).add(run, chunk, estimate);
    }
    if (oracleMicros > 0) {
      scores
          .computeIfAbsent(ORACLE_NAME, name -> new PredictionScore())
          .add(run, chunk, Estimate.ofPoint(oracleMicros));
    }
  }

  private void countContained(TaskRun run) {
    long[] contained =
        containedRunsByClass.computeIfAbsent(
            run.profile().jobClass(), name -> new long[CHECKED_COVERAGES.size()]);
    for (int i = 0; i < contained.length; i++) {
      if (primary.predict(run, CHECKED_COVERAGES.get(i)).contains(run.durationMicros())) {
        contained[i]++;
      }
    }
  }

  private static void recordElapsed(Histogram nanos, long startNanos) {
    nanos.recordValue(Math.min(nanos.getHighestTrackableValue(), System.nanoTime() - startNanos));
  }

  /**
   * Returns the scores by the name of the predictor, in the order of the predictors. The score of
   * the oracle comes last, if the history has its predictions.
   */
  Map<String, PredictionScore> scores() {
    return scores;
  }

  /** Returns whether the named predictor gives prediction intervals; false for the oracle. */
  boolean hasIntervals(String name) {
    return predictors.stream()
        .anyMatch(predictor -> predictor.name().equals(name) && predictor.hasIntervals());
  }

  /**
   * Returns by job class how many runs lay within the last predictor's intervals, with one count
   * for each of {@link #CHECKED_COVERAGES}.
   */
  Map<String, long[]> containedRunsByClass() {
    return containedRunsByClass;
  }

  /**
   * Returns the share of all predicted runs that lay within the last predictor's intervals, one for
   * each of {@link #CHECKED_COVERAGES}.
   */
  double[] observedCoverages() {
    double[] observed = new double[CHECKED_COVERAGES.size()];
    for (long[] contained : containedRunsByClass.values()) {
      for (int i = 0; i < observed.length; i++) {
        observed[i] += (double) contained[i] / predictedRuns;
      }
    }
    return observed;
  }

  /** Returns the number of runs that were predicted and observed. */
  long predictedRuns() {
    return predictedRuns;
  }

  /** Returns the number of stopped runs, which were observed without a prediction. */
  long stoppedRuns() {
    return stoppedRuns;
  }

  /** Returns the number of runs that were ignored because their times are implausible. */
  long implausibleRuns() {
    return implausibleRuns;
  }

  /** Returns the number of runs that ended earlier than the preceding run of the history. */
  long runsOutOfOrder() {
    return runsOutOfOrder;
  }

  /** Returns the durations of the last predictor's predictions, in nanoseconds. */
  Histogram predictionNanos() {
    return predictionNanos;
  }

  /** Returns the durations of the last predictor's observations, in nanoseconds. */
  Histogram observationNanos() {
    return observationNanos;
  }
}
