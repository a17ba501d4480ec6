package madderrudder.estimates;

import java.nio.ByteBuffer;

/**
 * What is known of runs of one profile: the distributions of their ratios to the owner's estimate
 * and of their run times, and how well either predicted what came next.
 *
 * <p>Also detects change points. Owners' estimates may change within a day, all at once: when
 * several jobs in a row end beyond the same bound of their prediction interval, which is one chance
 * in 100,000 where nothing has changed, all runs before them are forgotten.
 */
final class Evidence {
  /** So many jobs in a row beyond the same bound are a change point. */
  static final int CHANGE_POINT_STREAK = 5;

  private static final float SMOOTHING_FACTOR = 0.05f;

  final WindowedHistogram ratios;
  final WindowedHistogram durations;

  private float ratioLoss;
  private float durationLoss;
  private float siblingExcessLoss;
  private int judged;

  /** Its size is the length of the streak, its sign the side. */
  private int streak;

  private long[] streakRatios;
  private long[] streakDurations;

  /** {@code windowRuns} is the number of runs in one generation of the histograms. */
  Evidence(int windowRuns) {
    this(new WindowedHistogram(windowRuns), new WindowedHistogram(windowRuns));
  }

  private Evidence(WindowedHistogram ratios, WindowedHistogram durations) {
    this.ratios = ratios;
    this.durations = durations;
  }

  /** Adds a run, scaled as {@link HistogramScale} says; a ratio of 0 stands for none. */
  void add(long ratio, long duration) {
    if (ratio > 0) {
      ratios.add(ratio);
    }
    durations.add(duration);
  }

  /** How many jobs' first tasks the losses go by. */
  int judged() {
    return judged;
  }

  /**
   * The moving average of |ln(predicted / true)| where the ratio to the owner's estimate was the
   * basis.
   */
  float ratioLoss() {
    return ratioLoss;
  }

  /** The same where the run time itself was the basis. */
  float durationLoss() {
    return durationLoss;
  }

  /**
   * By how much the loss is larger where tasks of the same job weigh much than where they weigh
   * little, as a moving average; below 0 if they predict better than other jobs.
   */
  float siblingExcessLoss() {
    return siblingExcessLoss;
  }

  void recordSiblingExcessLoss(double excess) {
    siblingExcessLoss += SMOOTHING_FACTOR * ((float) excess - siblingExcessLoss);
  }

  void recordLosses(double latestRatioLoss, double latestDurationLoss) {
    judged++;
    float weight = Math.max(SMOOTHING_FACTOR, 1f / judged);
    ratioLoss += weight * ((float) latestRatioLoss - ratioLoss);
    durationLoss += weight * ((float) latestDurationLoss - durationLoss);
  }

  /**
   * Notes where a job's first task ended and whether this is a change point; if so, all but the
   * runs of the streak is forgotten.
   */
  boolean detectChangePoint(IntervalSide side, long ratio, long duration) {
    if (side == IntervalSide.INSIDE) {
      streak = 0;
      return false;
    }
    extendStreak(side.sign, ratio, duration);
    if (Math.abs(streak) < CHANGE_POINT_STREAK) {
      return false;
    }
    streak = 0;
    durations.restart(streakDurations);
    if (ratio > 0) {
      ratios.restart(streakRatios);
    }
    return true;
  }

  private void extendStreak(int sign, long ratio, long duration) {
    if (Integer.signum(streak) != sign) {
      streak = 0;
    }
    if (streakRatios == null) {
      streakRatios = new long[CHANGE_POINT_STREAK];
      streakDurations = new long[CHANGE_POINT_STREAK];
    }
    streakRatios[Math.abs(streak)] = ratio;
    streakDurations[Math.abs(streak)] = duration;
    streak += sign;
  }

  /** Takes in what another has seen; the losses are averaged by the numbers of jobs. */
  void merge(Evidence other) {
    ratios.merge(other.ratios);
    durations.merge(other.durations);
    int both = judged + other.judged;
    if (both > 0) {
      ratioLoss = (ratioLoss * judged + other.ratioLoss * other.judged) / both;
      durationLoss = (durationLoss * judged + other.durationLoss * other.judged) / both;
      siblingExcessLoss =
          (siblingExcessLoss * judged + other.siblingExcessLoss * other.judged) / both;
    }
    judged = both;
  }

  /** The most bytes that {@link #write} needs. */
  int maxBytes() {
    return ratios.maxBytes() + durations.maxBytes() + 4 * Integer.BYTES;
  }

  void write(ByteBuffer out) {
    out.putFloat(ratioLoss).putFloat(durationLoss).putFloat(siblingExcessLoss).putInt(judged);
    ratios.write(out);
    durations.write(out);
  }

  /** Reads what {@link #write} wrote; throws a RuntimeException if the bytes are something else. */
  static Evidence read(ByteBuffer in, int windowRuns) {
    float ratioLoss = in.getFloat();
    float durationLoss = in.getFloat();
    float siblingExcessLoss = in.getFloat();
    int judged = in.getInt();
    Evidence evidence =
        new Evidence(
            WindowedHistogram.read(in, windowRuns), WindowedHistogram.read(in, windowRuns));
    evidence.ratioLoss = ratioLoss;
    evidence.durationLoss = durationLoss;
    evidence.siblingExcessLoss = siblingExcessLoss;
    evidence.judged = judged;
    return evidence;
  }
}
