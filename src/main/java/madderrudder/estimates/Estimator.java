package madderrudder.estimates;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import madderrudder.estimates.Estimate.Basis;

/**
 * Estimates run times of tasks from the runs of ended tasks. The median comes from a hierarchical
 * model ({@link Predictor}), and the prediction interval from the errors of recent similar
 * predictions ({@link IntervalCalibration}). {@code docs/estimates.md} compares this with other
 * methods.
 *
 * <p>Uses no clock and no storage. Not thread-safe; the controller confines it to the event loop
 * thread. Memory is bounded by the maximum numbers of profiles and jobs; the least recently used
 * ones are evicted.
 */
public final class Estimator {
  /**
   * A censored run is ignored if the probability of a shorter run is below this: it then carries
   * almost no information.
   */
  private static final double MIN_INFORMATIVE_PROBABILITY = 0.05;

  /**
   * The multiples of this number modulo 1 form a low-discrepancy sequence: any number of them is
   * spread evenly between 0 and 1.
   */
  private static final double GOLDEN_RATIO_CONJUGATE = 0.6180339887498949;

  private final EvidenceStore evidence;
  private final Predictor predictor;
  private final ModelSelection modelSelection;
  private final IntervalCalibration calibration;
  private final MachineSpeeds machineSpeeds = new MachineSpeeds();
  private final EstimatorCounts counts = new EstimatorCounts();

  /** Creates an empty estimator that uses {@link LearningMethod#HIERARCHICAL}. */
  public Estimator(int maxProfiles, int maxJobs) {
    this(maxProfiles, maxJobs, LearningMethod.HIERARCHICAL);
  }

  /**
   * Creates an empty estimator.
   *
   * @param maxProfiles the maximum number of profiles, and of calibration keys
   * @param maxJobs the maximum number of jobs whose tasks are tracked separately
   * @param method how the levels are combined
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
   * @return false if the run is ignored because it is implausible or belongs to the same attempt of
   *     a gang as the previous run of the job
   */
  public boolean observe(TaskRun run) {
    if (!run.isPlausible()) {
      counts.rejected++;
      return false;
    }
    TaskProfile profile = run.profile();
    SiblingTasks siblings = evidence.getOrCreateSiblings(profile.job());
    if (!siblings.recordAttempt(run.attempt())) {
      return false;
    }
    Optional<Prediction> prediction = predict(profile, run.ownerEstimateMicros());
    double durationMicros = run.durationMicros() / machineSpeeds.typeFactor(run.machineType());
    if (run.complete()) {
      if (prediction.isPresent()
          && !recordPredictionError(run, siblings, prediction.get(), durationMicros)) {
        return true;
      }
      learn(run, siblings, durationMicros);
    } else {
      counts.censored++;
      prediction
          .flatMap(predicted -> imputedMicros(durationMicros, predicted))
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
   * Records the prediction error of a complete run; returns false if its machine is so slow that
   * the run must be excluded from learning.
   */
  private boolean recordPredictionError(
      TaskRun run, SiblingTasks siblings, Prediction prediction, double durationMicros) {
    if (machineSpeeds.recordAndCheckSlowMachine(run, prediction, durationMicros)) {
      counts.excluded++;
      return false;
    }
    IntervalSide side = calibration.record(run.profile(), prediction, durationMicros);
    counts.evaluated++;
    if (side == IntervalSide.INSIDE) {
      counts.withinInterval++;
    }
    if (siblings.isEmpty()) {
      counts.changePoints += modelSelection.compareBases(run, side, durationMicros);
    } else if (siblings.isTaskCountPowerOfTwo()) {
      modelSelection.compareSiblingWeights(run, durationMicros);
    }
    return true;
  }

  /**
   * Imputes the complete run time of a censored run: a quantile of the predictive distribution
   * conditional on run times longer than the observed one. The quantile varies from run to run, so
   * that the weight of censored runs is spread over all longer run times, as in the Kaplan-Meier
   * estimator. Empty if the run carries almost no information.
   */
  private Optional<Double> imputedMicros(double censoredAtMicros, Prediction prediction) {
    PredictiveDistribution distribution = prediction.distribution();
    if (distribution.cumulativeProbability(censoredAtMicros) < MIN_INFORMATIVE_PROBABILITY) {
      return Optional.empty();
    }
    double multiple = counts.censored * GOLDEN_RATIO_CONJUGATE;
    double probability = multiple - Math.floor(multiple);
    return Optional.of(distribution.conditionalQuantile(censoredAtMicros, probability));
  }

  /**
   * Estimates the run time of a task. The estimate {@linkplain Estimate#isUnknown() is unknown} if
   * there are neither similar runs nor an owner's estimate. For a running task, the estimate is
   * conditional on run times longer than the elapsed time.
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
    double elapsedMicros = query.elapsedMicros() / typeFactor;
    PredictiveDistribution distribution = prediction.distribution();
    double median = distribution.conditionalQuantile(elapsedMicros, 0.5);
    double low = calibration.lowerBoundMicros(query.profile(), prediction, query.coverage());
    double high = calibration.upperBoundMicros(query.profile(), prediction, query.coverage());
    if (elapsedMicros > 0) {
      // The interval of a running task is conditional on run times longer than the elapsed time.
      double upperQuantile = (1 + query.coverage()) / 2;
      low = Math.max(elapsedMicros, Math.min(low, median));
      high = Math.max(high, distribution.conditionalQuantile(elapsedMicros, upperQuantile));
    }
    return new Estimate(
        roundToMicros(median * typeFactor),
        roundToMicros(low * typeFactor),
        roundToMicros(high * typeFactor),
        query.coverage(),
        prediction.runs(),
        prediction.level(),
        basis);
  }

  private static long roundToMicros(double micros) {
    return Math.max(1, Math.round(micros));
  }

  /**
   * Explains the estimate in one line of text for operators: the basis; the number of runs, weight
   * and median in seconds of each level; the calibration of the interval; and the speed factor of
   * the machine type.
   */
  public String explain(EstimateQuery query) {
    return new Explanation(predictor, calibration, machineSpeeds).describe(query);
  }

  /**
   * Merges the evidence of another estimator, which must have observed other runs, into this one,
   * up to this estimator's size limits. Evidence on single jobs and the counts are not merged.
   */
  public void merge(Estimator other) {
    evidence.merge(other.evidence);
    machineSpeeds.merge(other.machineSpeeds);
    calibration.merge(other.calibration);
  }

  /** A live view of the counts of processed runs. */
  public EstimatorCounts counts() {
    return counts;
  }

  /** The number of profiles with evidence, over all levels. */
  public int profileCount() {
    return evidence.byProfile().size();
  }

  /**
   * Summarizes the classes with the most runs.
   *
   * @param maxClasses the maximum number of classes
   * @return the summaries ordered by class name, without classes that have no owner's estimates
   */
  public List<ClassSummary> summarizeClasses(int maxClasses) {
    Map<String, ClassSummary> byName = new TreeMap<>();
    evidence.byProfile().entrySet().stream()
        .filter(entry -> entry.getKey().level() == Level.CLASS)
        .filter(entry -> entry.getValue().ratios.count() > 0)
        .sorted((a, b) -> Integer.compare(b.getValue().ratios.count(), a.getValue().ratios.count()))
        .limit(maxClasses)
        .map(entry -> summarize(entry.getKey().jobClass(), entry.getValue().ratios))
        .forEach(summary -> byName.put(summary.jobClass(), summary));
    return List.copyOf(byName.values());
  }

  private static ClassSummary summarize(String jobClass, WindowedHistogram ratios) {
    PredictiveDistribution distribution = new PredictiveDistribution();
    distribution.add(ratios, 1.0 / HistogramScale.RATIO_ONE, 1);
    return new ClassSummary(
        jobClass,
        ratios.count(),
        distribution.quantile(Prediction.LOWER_PROBABILITY),
        distribution.quantile(0.5),
        distribution.quantile(Prediction.UPPER_PROBABILITY),
        Prediction.REFERENCE_COVERAGE);
  }

  /** A live view of the evidence by profile, the least recently used first. */
  Map<ProfileKey, Evidence> evidenceByProfile() {
    return evidence.byProfile();
  }

  /** A live view of the calibration scores, the least recently used first. */
  Map<CalibrationKey, CalibrationScores> scoresByKey() {
    return calibration.scoresByKey();
  }
}
