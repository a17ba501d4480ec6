package madderrudder.estimates;

import java.util.Arrays;

/**
 * Sketches of several levels, each with its weight, as one distribution of times in microseconds.
 * The share between two values of the grid is spread evenly between them.
 */
final class Mixture {
  /**
   * How wrong guesses are where nothing has run: between a fourth of the truth and four times it,
   * mostly by less than half.
   */
  private static final double[] PRIOR = {1, 2, 4, 6, 8, 6, 4, 2, 1};

  private static final double PRIOR_TOTAL = 34;

  /**
   * Bits of a key for which end of which step it is; each level has a few hundred steps at most.
   */
  private static final int PLACE_BITS = 13;

  private double[] low = new double[64];
  private double[] high = new double[64];
  private double[] weight = new double[64];
  private int size;
  private double total;

  /**
   * Where steps begin and end, in rising order, and the weight below each; null until they are
   * asked for.
   */
  private double[] at;

  private double[] belowAt;

  /**
   * Adds what a sketch holds, its values multiplied by the scale, with that much weight altogether.
   */
  void add(Sketch sketch, double scale, double all) {
    Sketch.Steps steps = sketch.steps();
    double each = all / sketch.count();
    for (int i = 0; i < steps.size(); i++) {
      add(steps.low()[i] * scale, steps.next()[i] * scale, each * steps.count()[i]);
    }
    total += all;
  }

  /** Adds what is known where nothing has run, around the owner's guess. */
  void addPrior(double guessMicros, double all) {
    double half = Math.pow(2, 0.25);
    for (int i = 0; i < PRIOR.length; i++) {
      double middle = guessMicros * Math.pow(2, (i - PRIOR.length / 2) / 2.0);
      add(middle / half, middle * half, all * PRIOR[i] / PRIOR_TOTAL);
    }
    total += all;
  }

  private void add(double from, double to, double share) {
    if (size == low.length) {
      low = Arrays.copyOf(low, 2 * size);
      high = Arrays.copyOf(high, 2 * size);
      weight = Arrays.copyOf(weight, 2 * size);
    }
    low[size] = from;
    high[size] = to;
    weight[size++] = share;
    at = null;
  }

  boolean empty() {
    return size == 0;
  }

  /**
   * Sweeps over all ends of steps in their order, and keeps how much lies below each. Doubles have
   * the order of their bits.
   */
  private void sweep() {
    if (at != null) {
      return;
    }
    long[] ends = new long[2 * size];
    for (int i = 0; i < size; i++) {
      ends[2 * i] = Double.doubleToLongBits(low[i]) >>> PLACE_BITS << PLACE_BITS | 2L * i;
      ends[2 * i + 1] = Double.doubleToLongBits(high[i]) >>> PLACE_BITS << PLACE_BITS | 2L * i + 1;
    }
    Arrays.sort(ends);
    at = new double[ends.length];
    belowAt = new double[ends.length];
    double density = 0;
    for (int j = 0; j < ends.length; j++) {
      int place = (int) (ends[j] & (1 << PLACE_BITS) - 1);
      int i = place / 2;
      boolean begins = place % 2 == 0;
      at[j] = begins ? low[i] : high[i];
      belowAt[j] = j == 0 ? 0 : belowAt[j - 1] + Math.max(0, density * (at[j] - at[j - 1]));
      density += (begins ? weight[i] : -weight[i]) / (high[i] - low[i]);
    }
  }

  /** The share of what is less than the time. */
  double below(double micros) {
    double below = 0;
    for (int i = 0; i < size; i++) {
      below += weight[i] * Math.max(0, Math.min(1, (micros - low[i]) / (high[i] - low[i])));
    }
    return below / total;
  }

  /** The time that the share is less than; share is from 0 to 1. */
  double quantile(double share) {
    sweep();
    int last = at.length - 1;
    double wanted = Math.min(share * total, belowAt[last]);
    int above = 1;
    while (above < last && belowAt[above] < wanted) {
      above++;
    }
    double here = belowAt[above] - belowAt[above - 1];
    return here <= 0
        ? at[above]
        : at[above - 1]
            + (at[above] - at[above - 1])
                * Math.max(0, Math.min(1, (wanted - belowAt[above - 1]) / here));
  }

  /** The quantile of those that take longer than the time; the time itself if none does. */
  double quantileBeyond(double micros, double share) {
    if (micros <= 0) {
      return quantile(share);
    }
    double below = below(micros);
    return Math.max(micros, quantile(below + share * (1 - below)));
  }
}
