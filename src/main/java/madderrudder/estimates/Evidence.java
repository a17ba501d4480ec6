package madderrudder.estimates;

import java.nio.ByteBuffer;

/**
 * The evidence from the runs of one profile: the distributions of their run times and of the ratios
 * of these to the owner's estimates, and the losses of predictions from either.
 *
 * <p>Also detects change points, because owners' estimates may change abruptly within a day. If
 * several consecutive jobs end beyond the same bound of their prediction intervals, which has a
 * probability of 1 in 100,000 without a change, all earlier runs are discarded.
 */
final class Evidence {
  /** The number of consecutive jobs beyond the same bound that make a change point. */
  static final int CHANGE_POINT_STREAK = 5;

  private static final float SMOOTHING_FACTOR = 0.05f;

  final WindowedHistogram ratios;
  final WindowedHistogram durations;

  private float ratioLoss;
  private float durationLoss;
  private float siblingExcessLoss;
  private int evaluatedJobs;

  /**
   * The number of latest consecutive jobs beyond the same bound: positive above the upper bound,
   * negative below the lower bound.
   */
  private int signedStreak;

  private long[] streakRatios;
  private long[] streakDurations;

  /** {@code generationRuns} is the number of runs in one generation of the histograms. */
  Evidence(int generationRuns) {
    this(new WindowedHistogram(generationRuns), new WindowedHistogram(generationRuns));
  }

  private Evidence(WindowedHistogram ratios, WindowedHistogram durations) {
    this.ratios = ratios;
    this.durations = durations;
  }

  /**
   * Adds a run, with values scaled by {@link HistogramScale}; the ratio is 0 without an owner's
   * estimate.
   */
  void add(long ratio, long duration) {
    if (ratio > 0) {
      ratios.add(ratio);
    }
    durations.add(duration);
  }

  /** The number of jobs whose first tasks contributed to the losses. */
  int evaluatedJobs() {
    return evaluatedJobs;
  }

  /**
   * The moving average of |ln(predicted / actual)| of predictions based on the ratio to the owner's
   * estimate.
   */
  float ratioLoss() {
    return ratioLoss;
  }

  /** The moving average of |ln(predicted / actual)| of predictions based on the run time itself. */
  float durationLoss() {
    return durationLoss;
  }

  /**
   * The moving average of the loss with a large weight of tasks of the same job minus the loss with
   * a small weight; negative if tasks of the same job predict better than other jobs.
   */
  float siblingExcessLoss() {
    return siblingExcessLoss;
  }

  /** Updates {@link #siblingExcessLoss} with the latest difference. */
  void recordSiblingExcessLoss(double excess) {
    siblingExcessLoss += SMOOTHING_FACTOR * ((float) excess - siblingExcessLoss);
  }

  /** Updates the losses of both bases with those of a job's first task. */
  void recordLosses(double latestRatioLoss, double latestDurationLoss) {
    evaluatedJobs++;
    float weight = Math.max(SMOOTHING_FACTOR, 1f / evaluatedJobs);
    ratioLoss += weight * ((float) latestRatioLoss - ratioLoss);
    durationLoss += weight * ((float) latestDurationLoss - durationLoss);
  }

  /**
   * Records on which side of its prediction interval a job's first task ended, and returns whether
   * this is a change point. At a change point, all runs but those of the streak are discarded.
   */
  boolean detectChangePoint(IntervalSide side, long ratio, long duration) {
    if (side == IntervalSide.INSIDE) {
      signedStreak = 0;
      return false;
    }
    extendStreak(side.sign, ratio, duration);
    if (Math.abs(signedStreak) < CHANGE_POINT_STREAK) {
      return false;
    }
    signedStreak = 0;
    durations.resetTo(streakDurations);
    if (ratio > 0) {
      ratios.resetTo(streakRatios);
    }
    return true;
  }

  private void extendStreak(int sign, long ratio, long duration) {
    if (Integer.signum(signedStreak) != sign) {
      signedStreak = 0;
    }
    if (streakRatios == null) {
      streakRatios = new long[CHANGE_POINT_STREAK];
      streakDurations = new long[CHANGE_POINT_STREAK];
    }
    streakRatios[Math.abs(signedStreak)] = ratio;
    streakDurations[Math.abs(signedStreak)] = duration;
    signedStreak += sign;
  }

  /** Merges other evidence into this; the losses are averaged, weighted by the numbers of jobs. */
  void merge(Evidence other) {
    ratios.merge(other.ratios);
    durations.merge(other.durations);
    int totalJobs = evaluatedJobs + other.evaluatedJobs;
    if (totalJobs > 0) {
      ratioLoss = (ratioLoss * evaluatedJobs + other.ratioLoss * other.evaluatedJobs) / totalJobs;
      durationLoss =
          (durationLoss * evaluatedJobs + other.durationLoss * other.evaluatedJobs) / totalJobs;
      siblingExcessLoss =
          (siblingExcessLoss * evaluatedJobs + other.siblingExcessLoss * other.evaluatedJobs)
              / totalJobs;
    }
    evaluatedJobs = totalJobs;
  }

  /** The maximum number of bytes that {@link #write} writes. */
  int maxBytes() {
    return ratios.maxBytes() + durations.maxBytes() + 4 * Integer.BYTES;
  }

  /** Writes the losses and both histograms to the buffer. */
  void write(ByteBuffer out) {
    out.putFloat(ratioLoss)
        .putFloat(durationLoss)
        .putFloat(siblingExcessLoss)
        .putInt(evaluatedJobs);
    ratios.write(out);
    durations.write(out);
  }

  /** Reads the format of {@link #write}; throws a RuntimeException if the bytes are invalid. */
  static Evidence read(ByteBuffer in, int generationRuns) {
    float ratioLoss = in.getFloat();
    float durationLoss = in.getFloat();
    float siblingExcessLoss = in.getFloat();
    int evaluatedJobs = in.getInt();
    Evidence evidence =
        new Evidence(
            WindowedHistogram.read(in, generationRuns), WindowedHistogram.read(in, generationRuns));
    evidence.ratioLoss = ratioLoss;
    evidence.durationLoss = durationLoss;
    evidence.siblingExcessLoss = siblingExcessLoss;
    evidence.evaluatedJobs = evaluatedJobs;
    return evidence;
  }
}
