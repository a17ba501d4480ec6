package madderrudder.estimates;

import java.nio.ByteBuffer;

/**
 * What is known of runs of one kind: their ratios to the owner's guess, their times, and how well
 * either foretold what came next. Guesses may turn within a day, all at once: when several jobs in
 * a row end beyond the same bound, which is one chance in 100,000 where nothing has changed, all
 * before them is forgotten.
 */
final class Evidence {
  static final int STREAK = 5;
  private static final float FORGETTING = 0.05f;

  final Sketch ratios;
  final Sketch times;

  /** Means of |ln(foretold / true)|, recent ones counting more. */
  float ratioLoss;

  float timeLoss;

  /**
   * Mean of how much less tasks of the same job foretold than all others did; below 0 if they
   * foretold better.
   */
  float siblingsWorse;

  private int judged;
  private int streak;
  private long[] streakRatios;
  private long[] streakTimes;

  Evidence(int window) {
    this(new Sketch(window), new Sketch(window));
  }

  private Evidence(Sketch ratios, Sketch times) {
    this.ratios = ratios;
    this.times = times;
  }

  /** A value of 0 stands for no guess, which has no ratio. */
  void add(long ratio, long time) {
    if (ratio > 0) {
      ratios.add(ratio);
    }
    times.add(time);
  }

  void judgeSiblings(double worse) {
    siblingsWorse += FORGETTING * ((float) worse - siblingsWorse);
  }

  int judged() {
    return judged;
  }

  void judge(double lossOfRatio, double lossOfTime) {
    judged++;
    float weight = Math.max(FORGETTING, 1f / judged);
    ratioLoss += weight * ((float) lossOfRatio - ratioLoss);
    timeLoss += weight * ((float) lossOfTime - timeLoss);
  }

  /**
   * {@code side} is 1 beyond the upper bound, -1 below the lower one and 0 between; true if all
   * earlier is forgotten.
   */
  boolean shifted(int side, long ratio, long time) {
    if (side == 0) {
      streak = 0;
      return false;
    }
    if (Integer.signum(streak) != side) {
      streak = 0;
    }
    if (streakRatios == null) {
      streakRatios = new long[STREAK];
      streakTimes = new long[STREAK];
    }
    streakRatios[Math.abs(streak)] = ratio;
    streakTimes[Math.abs(streak)] = time;
    streak += side;
    if (Math.abs(streak) < STREAK) {
      return false;
    }
    streak = 0;
    times.restart(streakTimes);
    if (ratio > 0) {
      ratios.restart(streakRatios);
    }
    return true;
  }

  void merge(Evidence other) {
    ratios.merge(other.ratios);
    times.merge(other.times);
    int both = judged + other.judged;
    if (both > 0) {
      ratioLoss = (ratioLoss * judged + other.ratioLoss * other.judged) / both;
      timeLoss = (timeLoss * judged + other.timeLoss * other.judged) / both;
      siblingsWorse = (siblingsWorse * judged + other.siblingsWorse * other.judged) / both;
    }
    judged = both;
  }

  int mostBytes() {
    return ratios.mostBytes() + times.mostBytes() + 4 * Integer.BYTES;
  }

  void write(ByteBuffer out) {
    out.putFloat(ratioLoss).putFloat(timeLoss).putFloat(siblingsWorse).putInt(judged);
    ratios.write(out);
    times.write(out);
  }

  static Evidence read(ByteBuffer in, int window) {
    float ratioLoss = in.getFloat();
    float timeLoss = in.getFloat();
    float siblingsWorse = in.getFloat();
    int judged = in.getInt();
    Evidence evidence = new Evidence(Sketch.read(in, window), Sketch.read(in, window));
    evidence.ratioLoss = ratioLoss;
    evidence.timeLoss = timeLoss;
    evidence.siblingsWorse = siblingsWorse;
    evidence.judged = judged;
    return evidence;
  }
}
