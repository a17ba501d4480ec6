package madderrudder.estimates;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import madderrudder.estimates.Estimate.Basis;

/**
 * Builds predictive distributions from the evidence. A level with n runs takes n / (n + k) of the
 * weight that more specific levels leave over, where k is a number of pseudo-runs: so a new profile
 * begins with what it resembles and comes to stand on its own. What all levels leave over is the
 * weight of the prior around the owner's estimate.
 */
final class Predictor {
  /** So many runs of a level weigh as much as all less specific levels together. */
  private static final double PSEUDO_RUNS = 4;

  /** Tasks of one job are mostly more alike than any others. */
  private static final double SIBLING_PSEUDO_RUNS = 1;

  /** In some classes the tasks of one job are no more alike than those of different jobs. */
  private static final double UNLIKE_SIBLING_PSEUDO_RUNS = 16;

  /** The run time is the basis if its loss is less than this part of the ratio's. */
  private static final double REQUIRED_IMPROVEMENT = 0.9;

  /** So many jobs have to be judged before the run time may be the basis. */
  private static final int MIN_JUDGED = 8;

  /** So many runs are enough for {@link LearningMethod#NEAREST_LEVEL}. */
  private static final int NEAREST_LEVEL_RUNS = 8;

  /** The levels whose losses decide on the basis, if enough of their jobs have been judged. */
  private static final List<Level> BASIS_LEVELS = List.of(Level.WORK, Level.CLASS);

  /** No more components are possible: one for each level. */
  private static final int MAX_COMPONENTS = 6;

  private final EvidenceStore evidence;
  private final LearningMethod method;

  Predictor(EvidenceStore evidence, LearningMethod method) {
    this.evidence = evidence;
    this.method = method;
  }

  /** Whether the ratio to the owner's estimate or the run time itself has predicted better. */
  Basis basis(TaskProfile profile, long ownerEstimateMicros) {
    if (ownerEstimateMicros == 0) {
      return Basis.TIME;
    }
    for (Level level : BASIS_LEVELS) {
      Evidence known = evidence.find(profile, level);
      if (known != null && known.judged() >= MIN_JUDGED) {
        return known.durationLoss() < REQUIRED_IMPROVEMENT * known.ratioLoss()
            ? Basis.TIME
            : Basis.RATIO;
      }
    }
    return Basis.RATIO;
  }

  /** Empty if nothing alike has run and there is no owner's estimate. */
  Optional<Prediction> predict(TaskProfile profile, long ownerEstimateMicros, Basis basis) {
    return Prediction.of(components(profile, ownerEstimateMicros, basis));
  }

  /** As {@link #predict}, as if tasks of the same job were alike, or as if they were not. */
  Optional<Prediction> predict(
      TaskProfile profile, long ownerEstimateMicros, Basis basis, boolean siblingsAlike) {
    return Prediction.of(components(profile, ownerEstimateMicros, basis, siblingsAlike));
  }

  /** The components of the predictive distribution, the most specific level first. */
  List<MixtureComponent> components(TaskProfile profile, long ownerEstimateMicros, Basis basis) {
    Evidence ofClass = evidence.find(profile, Level.CLASS);
    boolean siblingsAlike = ofClass == null || ofClass.siblingExcessLoss() <= 0;
    return components(profile, ownerEstimateMicros, basis, siblingsAlike);
  }

  private List<MixtureComponent> components(
      TaskProfile profile, long ownerEstimateMicros, Basis basis, boolean siblingsAlike) {
    List<MixtureComponent> components = new ArrayList<>(MAX_COMPONENTS);
    double remaining = 1;
    SiblingTasks siblings = evidence.findSiblings(profile.job());
    if (siblings != null && !siblings.isEmpty()) {
      MixtureComponent component = ofSiblings(siblings.durations(), siblingsAlike);
      components.add(component);
      remaining -= component.weight();
    }
    for (Level level : EvidenceStore.LEVELS) {
      Evidence known = evidence.find(profile, level);
      // The run times of other classes say nothing about this one's, but how wrong their owners'
      // estimates are does.
      boolean byTime = basis == Basis.TIME && level != Level.ALL;
      if (known != null && (byTime || ownerEstimateMicros > 0)) {
        MixtureComponent component =
            byTime
                ? ofTimes(level, known.durations, remaining)
                : ofRatios(level, known.ratios, ownerEstimateMicros, remaining);
        components.add(component);
        remaining -= component.weight();
      }
    }
    if (ownerEstimateMicros > 0) {
      components.add(MixtureComponent.prior(ownerEstimateMicros, remaining));
    }
    components.removeIf(component -> component.weight() <= 0);
    return components;
  }

  private MixtureComponent ofSiblings(WindowedHistogram durations, boolean siblingsAlike) {
    double pseudoRuns = siblingsAlike ? SIBLING_PSEUDO_RUNS : UNLIKE_SIBLING_PSEUDO_RUNS;
    double weight = weight(durations.count(), pseudoRuns);
    return new MixtureComponent(Level.JOB, durations, HistogramScale.MICROS_PER_VALUE, weight);
  }

  private MixtureComponent ofTimes(Level level, WindowedHistogram durations, double remaining) {
    double weight = remaining * weight(durations.count(), PSEUDO_RUNS);
    return new MixtureComponent(level, durations, HistogramScale.MICROS_PER_VALUE, weight);
  }

  private MixtureComponent ofRatios(
      Level level, WindowedHistogram ratios, long ownerEstimateMicros, double remaining) {
    double scale = (double) ownerEstimateMicros / HistogramScale.RATIO_ONE;
    double weight = remaining * weight(ratios.count(), PSEUDO_RUNS);
    return new MixtureComponent(level, ratios, scale, weight);
  }

  /** What a level with so many runs takes of the weight that is left. */
  private double weight(int runs, double pseudoRuns) {
    if (method == LearningMethod.NEAREST_LEVEL) {
      return runs >= NEAREST_LEVEL_RUNS ? 1 : 0;
    }
    return runs / (runs + pseudoRuns);
  }
}
