package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import madderrudder.estimates.Estimate.Basis;

/**
 * Learns from tasks that have run how long others will run. The median comes from a hierarchical
 * model ({@link Predictor}), the prediction interval from how far similar predictions have missed
 * lately ({@link IntervalCalibration}). {@code docs/estimates.md} has the methods that were
 * compared and their results.
 *
 * <p>Has no clock and no store, and is not safe for use by several threads; the controller confines
 * it to the event loop thread. Memory is bounded by the numbers of profiles and jobs that it is
 * given; the least recently used are forgotten.
 */
public final class Estimator {
  /** A run that was stopped before nearly all others end gives no information. */
  private static final double MIN_INFORMATIVE_PROBABILITY = 0.05;

  /** Multiples of it, modulo 1, are spread evenly between 0 and 1 however many there are. */
  private static final double GOLDEN_RATIO = 0.6180339887498949;

  private final EvidenceStore evidence;
  private final Predictor predictor;
  private final ModelSelection modelSelection;
  private final IntervalCalibration calibration;
  private final MachineSpeeds machineSpeeds = new MachineSpeeds();
  private final EstimatorCounts counts = new EstimatorCounts();

  /** An estimator that learns with {@link LearningMethod#HIERARCHICAL}. */
  public Estimator(int maxProfiles, int maxJobs) {
    this(maxProfiles, maxJobs, LearningMethod.HIERARCHICAL);
  }

  /**
   * An estimator that has seen nothing.
   *
   * @param maxProfiles how many profiles are remembered, and how many calibration keys
   * @param maxJobs how many single jobs are remembered
   * @param method how levels are combined
   */
  public Estimator(int maxProfiles, int maxJobs, LearningMethod method) {
    evidence = new EvidenceStore(maxProfiles, maxJobs, method);
    predictor = new Predictor(evidence, method);
    modelSelection = new ModelSelection(evidence, predictor, method);
    calibration = new IntervalCalibration(maxProfiles);
  }

  /**
   * Learns from a run.
   *
   * @return false if it is not plausible, or is one more task of a gang's attempt that has been
   *     seen: nothing has changed then
   */
  public boolean observe(TaskRun run) {
    if (!run.isPlausible()) {
      counts.refused++;
      return false;
    }
    TaskProfile profile = run.profile();
    SiblingTasks siblings = evidence.siblings(profile.job());
    if (!siblings.beginAttempt(run.attempt())) {
      return false;
    }
    Optional<Prediction> prediction = predict(profile, run.ownerEstimateMicros());
    double durationMicros = run.durationMicros() / machineSpeeds.typeFactor(run.machineType());
    if (run.complete()) {
      if (prediction.isPresent()
          && !learnFromError(run, siblings, prediction.get(), durationMicros)) {
        return true;
      }
      learn(run, siblings, durationMicros);
    } else {
      counts.stopped++;
      prediction
          .flatMap(known -> imputedMicros(durationMicros, known))
          .ifPresent(imputed -> learn(run, siblings, imputed));
    }
    return true;
  }

  private Optional<Prediction> predict(TaskProfile profile, long ownerEstimateMicros) {
    Basis basis = predictor.basis(profile, ownerEstimateMicros);
    return predictor.predict(profile, ownerEstimateMicros, basis);
  }

  private void learn(TaskRun run, SiblingTasks siblings, double durationMicros) {
    evidence.learn(run, siblings, durationMicros);
    counts.learned++;
  }

  /**
   * Compares a complete run with its prediction; false if its machine is so slow that the run has
   * to be set aside.
   */
  private boolean learnFromError(
      TaskRun run, SiblingTasks siblings, Prediction prediction, double durationMicros) {
    if (machineSpeeds.isSlow(run, prediction, durationMicros)) {
      counts.setAside++;
      return false;
    }
    IntervalSide side = calibration.record(run.profile(), prediction, durationMicros);
    counts.judged++;
    if (side == IntervalSide.INSIDE) {
      counts.withinInterval++;
    }
    if (siblings.isEmpty()) {
      counts.shifts += modelSelection.compareBases(run, side, durationMicros);
    } else if (siblings.countIsPowerOfTwo()) {
      modelSelection.compareSiblings(run, durationMicros);
    }
    return true;
  }

  /**
   * A run that was stopped stands for one of those that take longer than it did, each time for
   * another of them, as in the estimator of Kaplan and Meier; empty if it gives no information.
   */
  private Optional<Double> imputedMicros(double stoppedAfterMicros, Prediction prediction) {
    PredictiveDistribution distribution = prediction.distribution();
    if (distribution.cumulativeProbability(stoppedAfterMicros) < MIN_INFORMATIVE_PROBABILITY) {
      return Optional.empty();
    }
    double multiple = counts.stopped * GOLDEN_RATIO;
    double probability = multiple - Math.floor(multiple);
    return Optional.of(distribution.conditionalQuantile(stoppedAfterMicros, probability));
  }

  /**
   * The estimate for a task; {@link Estimate#isUnknown()} if nothing alike has run and there is no
   * owner's estimate. For a task that has run for some time already, it is that of tasks that take
   * longer.
   */
  public Estimate estimate(EstimateQuery query) {
    Basis basis = predictor.basis(query.profile(), query.ownerEstimateMicros());
    return predictor
        .predict(query.profile(), query.ownerEstimateMicros(), basis)
        .map(prediction -> estimate(query, basis, prediction))
        .orElse(Estimate.UNKNOWN);
  }

  private Estimate estimate(EstimateQuery query, Basis basis, Prediction prediction) {
    double typeFactor = machineSpeeds.typeFactor(query.machineType());
    double elapsed = query.elapsedMicros() / typeFactor;
    PredictiveDistribution distribution = prediction.distribution();
    double median = distribution.conditionalQuantile(elapsed, 0.5);
    double low = calibration.lowerMicros(query.profile(), prediction, query.coverage());
    double high = calibration.upperMicros(query.profile(), prediction, query.coverage());
    if (elapsed > 0) {
      // The interval of what has run for some time is that of what takes longer.
      double upperQuantile = (1 + query.coverage()) / 2;
      low = Math.max(elapsed, Math.min(low, median));
      high = Math.max(high, distribution.conditionalQuantile(elapsed, upperQuantile));
    }
    return new Estimate(
        wholeMicros(median * typeFactor),
        wholeMicros(low * typeFactor),
        wholeMicros(high * typeFactor),
        query.coverage(),
        prediction.runs(),
        prediction.level(),
        basis);
  }

  private static long wholeMicros(double micros) {
    return Math.max(1, Math.round(micros));
  }

  /**
   * Why the estimate is what it is, in one line of text for operators: the basis, of each level the
   * runs, the weight and the median in seconds, what the interval goes by, and the factor of the
   * machine type.
   */
  public String explain(EstimateQuery query) {
    return new Explanation(predictor, calibration, machineSpeeds).of(query);
  }

  /**
   * Takes in what another estimator has learned of other runs, within this one's bounds. What it
   * knows of single jobs, and its counts, are left out.
   */
  public void merge(Estimator other) {
    evidence.merge(other.evidence);
    machineSpeeds.merge(other.machineSpeeds);
    calibration.merge(other.calibration);
  }

  /** What has been done so far; the counts go on changing. */
  public EstimatorCounts counts() {
    return counts;
  }

  /** How many profiles are known, over all levels. */
  public int size() {
    return evidence.byProfile().size();
  }

  /**
   * The classes with the most runs.
   *
   * @param maxClasses the most classes that are returned
   * @return the classes in the order of their names; those without any owner's estimate are left
   *     out
   */
  public List<ClassSummary> classes(int maxClasses) {
    Map<String, ClassSummary> byName = new TreeMap<>();
    evidence.byProfile().entrySet().stream()
        .filter(entry -> entry.getKey().level() == Level.CLASS)
        .filter(entry -> entry.getValue().ratios.count() > 0)
        .sorted((a, b) -> Integer.compare(b.getValue().ratios.count(), a.getValue().ratios.count()))
        .limit(maxClasses)
        .map(entry -> summary(entry.getKey().jobClass(), entry.getValue().ratios))
        .forEach(summary -> byName.put(summary.jobClass(), summary));
    return List.copyOf(byName.values());
  }

  private static ClassSummary summary(String jobClass, WindowedHistogram ratios) {
    PredictiveDistribution distribution = new PredictiveDistribution();
    distribution.add(ratios, 1.0 / HistogramScale.RATIO_ONE, 1);
    return new ClassSummary(
        jobClass,
        ratios.count(),
        distribution.quantile(Prediction.LOWER_QUANTILE),
        distribution.quantile(0.5),
        distribution.quantile(Prediction.UPPER_QUANTILE),
        Prediction.REFERENCE_COVERAGE);
  }

  /** The evidence by profile, the least recently used first. */
  Map<ProfileKey, Evidence> evidenceByProfile() {
    return evidence.byProfile();
  }

  /** The calibration scores, the least recently used first. */
  Map<CalibrationKey, CalibrationScores> scoresByKey() {
    return calibration.scoresByKey();
  }
}
