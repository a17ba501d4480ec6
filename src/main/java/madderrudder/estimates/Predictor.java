package madderrudder.estimates;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import madderrudder.estimates.Estimate.Basis;

/**
 * Builds predictive distributions from the evidence. A level with n runs receives the share n / (n
 * + k) of the weight that the more specific levels leave, where k is a pseudo-count. Predictions
 * for a new profile thus rely on less specific levels, and shift to the runs of the profile itself
 * as these accumulate. The weight that all levels leave goes to the prior around the owner's
 * estimate.
 */
final class Predictor {
  /**
   * The number of runs at which a level has the same weight as all less specific levels together.
   */
  private static final double LEVEL_PSEUDO_COUNT = 4;

  /** The pseudo-count of tasks of the same job, which usually are more similar than other tasks. */
  private static final double SIBLING_PSEUDO_COUNT = 1;

  /**
   * The pseudo-count of tasks of the same job in classes where they are no more similar than tasks
   * of different jobs.
   */
  private static final double DISSIMILAR_SIBLING_PSEUDO_COUNT = 16;

  /** The run time is the basis if its loss is below this fraction of the loss of the ratio. */
  private static final double MAX_RELATIVE_DURATION_LOSS = 0.9;

  /** The minimum number of evaluated jobs at a level whose losses determine the basis. */
  private static final int MIN_EVALUATED_JOBS = 8;

  /** The minimum number of runs at a level used by {@link LearningMethod#MOST_SPECIFIC_LEVEL}. */
  private static final int MOST_SPECIFIC_LEVEL_MIN_RUNS = 8;

  /**
   * The levels whose losses determine the basis, in this order; the first one with enough evaluated
   * jobs is used.
   */
  private static final List<Level> BASIS_LEVELS = List.of(Level.WORK, Level.CLASS);

  /** The maximum number of components: one per level. */
  private static final int MAX_COMPONENTS = 6;

  private final EvidenceStore evidence;
  private final LearningMethod method;

  Predictor(EvidenceStore evidence, LearningMethod method) {
    this.evidence = evidence;
    this.method = method;
  }

  /**
   * The basis with the smaller loss in predictions for similar tasks: the run time itself, or the
   * ratio to the owner's estimate, which is the default. Always the run time without an owner's
   * estimate.
   */
  Basis basis(TaskProfile profile, long ownerEstimateMicros) {
    if (ownerEstimateMicros == 0) {
      return Basis.TIME;
    }
    for (Level level : BASIS_LEVELS) {
      Evidence levelEvidence = evidence.find(profile, level);
      if (levelEvidence != null && levelEvidence.evaluatedJobs() >= MIN_EVALUATED_JOBS) {
        return levelEvidence.durationLoss() < MAX_RELATIVE_DURATION_LOSS * levelEvidence.ratioLoss()
            ? Basis.TIME
            : Basis.RATIO;
      }
    }
    return Basis.RATIO;
  }

  /**
   * Predicts the run time of a task; empty if there are neither similar runs nor an owner's
   * estimate.
   */
  Optional<Prediction> predict(TaskProfile profile, long ownerEstimateMicros, Basis basis) {
    return Prediction.of(components(profile, ownerEstimateMicros, basis));
  }

  /**
   * Like {@link #predict(TaskProfile, long, Basis)}, with a large weight of the tasks of the same
   * job if {@code siblingsSimilar} is true, and with a small weight otherwise.
   */
  Optional<Prediction> predict(
      TaskProfile profile, long ownerEstimateMicros, Basis basis, boolean siblingsSimilar) {
    return Prediction.of(components(profile, ownerEstimateMicros, basis, siblingsSimilar));
  }

  /** The components of the predictive distribution, the most specific level first. */
  List<MixtureComponent> components(TaskProfile profile, long ownerEstimateMicros, Basis basis) {
    Evidence classEvidence = evidence.find(profile, Level.CLASS);
    boolean siblingsSimilar = classEvidence == null || classEvidence.siblingExcessLoss() <= 0;
    return components(profile, ownerEstimateMicros, basis, siblingsSimilar);
  }

  private List<MixtureComponent> components(
      TaskProfile profile, long ownerEstimateMicros, Basis basis, boolean siblingsSimilar) {
    List<MixtureComponent> components = new ArrayList<>(MAX_COMPONENTS);
    double remainingWeight = 1;
    SiblingTasks siblings = evidence.findSiblings(profile.job());
    if (siblings != null && !siblings.isEmpty()) {
      MixtureComponent component = siblingComponent(siblings.durations(), siblingsSimilar);
      components.add(component);
      remainingWeight -= component.weight();
    }
    for (Level level : EvidenceStore.LEVELS) {
      Evidence levelEvidence = evidence.find(profile, level);
      // Run times of other classes carry no information about this class, but the ratios of these
      // run times to owners' estimates do.
      boolean usesDurations = basis == Basis.TIME && level != Level.ALL;
      if (levelEvidence != null && (usesDurations || ownerEstimateMicros > 0)) {
        MixtureComponent component =
            usesDurations
                ? durationComponent(level, levelEvidence.durations, remainingWeight)
                : ratioComponent(level, levelEvidence.ratios, ownerEstimateMicros, remainingWeight);
        components.add(component);
        remainingWeight -= component.weight();
      }
    }
    if (ownerEstimateMicros > 0) {
      components.add(MixtureComponent.prior(ownerEstimateMicros, remainingWeight));
    }
    components.removeIf(component -> component.weight() <= 0);
    return components;
  }

  private MixtureComponent siblingComponent(WindowedHistogram durations, boolean siblingsSimilar) {
    double pseudoCount = siblingsSimilar ? SIBLING_PSEUDO_COUNT : DISSIMILAR_SIBLING_PSEUDO_COUNT;
    double weight = weightShare(durations.count(), pseudoCount);
    return new MixtureComponent(
        Level.JOB, durations, HistogramScale.MICROS_PER_DURATION_UNIT, weight);
  }

  private MixtureComponent durationComponent(
      Level level, WindowedHistogram durations, double remainingWeight) {
    double weight = remainingWeight * weightShare(durations.count(), LEVEL_PSEUDO_COUNT);
    return new MixtureComponent(level, durations, HistogramScale.MICROS_PER_DURATION_UNIT, weight);
  }

  private MixtureComponent ratioComponent(
      Level level, WindowedHistogram ratios, long ownerEstimateMicros, double remainingWeight) {
    double scale = (double) ownerEstimateMicros / HistogramScale.RATIO_ONE;
    double weight = remainingWeight * weightShare(ratios.count(), LEVEL_PSEUDO_COUNT);
    return new MixtureComponent(level, ratios, scale, weight);
  }

  /** The share of the remaining weight that a level with the given number of runs receives. */
  private double weightShare(int runs, double pseudoCount) {
    if (method == LearningMethod.MOST_SPECIFIC_LEVEL) {
      return runs >= MOST_SPECIFIC_LEVEL_MIN_RUNS ? 1 : 0;
    }
    return runs / (runs + pseudoCount);
  }
}
