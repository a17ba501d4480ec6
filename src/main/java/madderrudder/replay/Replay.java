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
 * Replays a history in its order: each predictor predicts a run, and then observes it. Runs that
 * were stopped are observed but not predicted, since nobody knows how long they would have taken.
 */
public final class Replay {
  /** The coverage that prediction intervals promise in the tables. */
  public static final double COVERAGE = 0.8;

  /** The coverages whose prediction intervals are checked for the last predictor. */
  static final List<Double> COVERAGES = List.of(0.5, 0.6, 0.7, 0.8, 0.9, 0.95);

  /** The number of runs in one step of the scores over time. */
  static final int CHUNK = 1_000;

  /** The name under which the scores of the generator's oracle are kept. */
  static final String ORACLE = "best";

  private static final long MAX_NANOS = 10_000_000_000L;
  private static final int SIGNIFICANT_DIGITS = 3;

  private final List<RunTimePredictor> predictors;

  /** The last of the predictors, which is timed. */
  private final RunTimePredictor main;

  private final Map<String, PredictionScore> scores = new LinkedHashMap<>();
  private final Map<String, long[]> containedByClass = new TreeMap<>();
  private final Histogram predictionNanos = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private final Histogram observationNanos = new Histogram(MAX_NANOS, SIGNIFICANT_DIGITS);
  private long predictedRuns;
  private long stoppedRuns;
  private long implausibleRuns;
  private long runsOutOfOrder;
  private long lastEndMicros = Long.MIN_VALUE;

  /**
   * A replay that has seen nothing. The last of the predictors is the one that is timed, and whose
   * prediction intervals are checked for each coverage.
   */
  Replay(List<RunTimePredictor> predictors) {
    this.predictors = new ArrayList<>(predictors);
    main = predictors.get(predictors.size() - 1);
    predictors.forEach(predictor -> scores.put(predictor.name(), new PredictionScore()));
  }

  /** Takes the next run; {@code oracleMicros} is what an oracle would predict, or 0. */
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
      predict(run, oracleMicros);
    } else {
      stoppedRuns++;
    }
    predictors.forEach(predictor -> observe(predictor, run));
  }

  private void observe(RunTimePredictor predictor, TaskRun run) {
    long beginNanos = System.nanoTime();
    predictor.observe(run);
    if (predictor == main) {
      record(observationNanos, beginNanos);
    }
  }

  private void predict(TaskRun run, long oracleMicros) {
    int chunk = (int) (predictedRuns++ / CHUNK);
    for (RunTimePredictor predictor : predictors) {
      long beginNanos = System.nanoTime();
      Estimate estimate = predictor.predict(run, COVERAGE);
      if (predictor == main) {
        record(predictionNanos, beginNanos);
        checkIntervals(run);
      }
      scores.get(predictor.name()).add(run, chunk, estimate);
    }
    if (oracleMicros > 0) {
      scores
          .computeIfAbsent(ORACLE, name -> new PredictionScore())
          .add(run, chunk, Estimate.ofPoint(oracleMicros));
    }
  }

  private void checkIntervals(TaskRun run) {
    long[] contained =
        containedByClass.computeIfAbsent(
            run.profile().jobClass(), name -> new long[COVERAGES.size()]);
    for (int i = 0; i < contained.length; i++) {
      if (main.predict(run, COVERAGES.get(i)).contains(run.durationMicros())) {
        contained[i]++;
      }
    }
  }

  private static void record(Histogram nanos, long beginNanos) {
    nanos.recordValue(Math.min(nanos.getHighestTrackableValue(), System.nanoTime() - beginNanos));
  }

  /**
   * The scores by the names of the predictors, in their order; the oracle's last, if there is one.
   */
  Map<String, PredictionScore> scores() {
    return scores;
  }

  /** Whether the predictor of the name has prediction intervals. */
  boolean hasIntervals(String name) {
    return predictors.stream()
        .anyMatch(predictor -> predictor.name().equals(name) && predictor.hasIntervals());
  }

  /** Of each class, how many runs lay within the intervals, one count for each coverage. */
  Map<String, long[]> containedByClass() {
    return containedByClass;
  }

  /** The share of all runs that lay within the intervals, one for each coverage. */
  double[] observedCoverages() {
    double[] observed = new double[COVERAGES.size()];
    for (long[] contained : containedByClass.values()) {
      for (int i = 0; i < observed.length; i++) {
        observed[i] += (double) contained[i] / predictedRuns;
      }
    }
    return observed;
  }

  /** How many runs were predicted. */
  long predictedRuns() {
    return predictedRuns;
  }

  /** How many runs were observed without a prediction. */
  long stoppedRuns() {
    return stoppedRuns;
  }

  /** How many runs were left out. */
  long implausibleRuns() {
    return implausibleRuns;
  }

  /** How many runs ended before the run that came before them. */
  long runsOutOfOrder() {
    return runsOutOfOrder;
  }

  /** How long the last predictor's predictions took. */
  Histogram predictionNanos() {
    return predictionNanos;
  }

  /** How long the last predictor's observations took. */
  Histogram observationNanos() {
    return observationNanos;
  }
}
