package madderrudder.estimates;

import java.nio.ByteBuffer;
import java.util.IdentityHashMap;

/**
 * How far jobs have ended from what was foretold, in units of how far it was thought they might: so
 * that bounds can promise what such estimates have held, whatever the reason. A handful of runs
 * always look more alike than they are, and what drifts ends outside of what was. This is conformal
 * prediction on the latest estimates of the same kind.
 */
final class Scores {
  static final int WINDOW = 256;
  private static final double MILLI = 1_000;
  private static final double MOST = 64;
  private static final int PART_NEW = 32;

  private final Sketch above;
  private final Sketch below;

  /** How either side is spread, worked out again once so many scores are new. */
  private final IdentityHashMap<Sketch, Mixture> spread = new IdentityHashMap<>(4);

  private int unread;

  Scores() {
    this(new Sketch(WINDOW), new Sketch(WINDOW));
  }

  private Scores(Sketch above, Sketch below) {
    this.above = above;
    this.below = below;
  }

  /**
   * A job took longer than the median by so many units if {@code score} is above 0, and else less.
   */
  void add(double score) {
    Sketch side = score > 0 ? above : below;
    if (++unread >= count() / PART_NEW) {
      spread.clear();
      unread = 0;
    }
    side.add(Math.max(1, Math.round(MILLI * Math.min(MOST, Math.abs(score)))));
  }

  int count() {
    return above.count() + below.count();
  }

  /**
   * How many units above the median no more than this share of them has ended; 0 if no more do so
   * at all.
   */
  double unitsAbove(double beyond) {
    return units(above, beyond);
  }

  /** The same below the median. */
  double unitsBelow(double beyond) {
    return units(below, beyond);
  }

  private double units(Sketch side, double beyond) {
    // One more than were seen: where the next one ends is as likely to be beyond all of them as in
    // any other place.
    double ofSide = side.count() == 0 ? 1 : beyond * (count() + 1) / side.count();
    if (ofSide >= 1) {
      return 0;
    }
    Mixture known =
        spread.computeIfAbsent(
            side,
            changed -> {
              Mixture mixture = new Mixture();
              mixture.add(changed, 1 / MILLI, 1);
              return mixture;
            });
    return known.quantile(1 - ofSide);
  }

  void merge(Scores other) {
    above.merge(other.above);
    below.merge(other.below);
    spread.clear();
  }

  int mostBytes() {
    return above.mostBytes() + below.mostBytes();
  }

  void write(ByteBuffer out) {
    above.write(out);
    below.write(out);
  }

  static Scores read(ByteBuffer in) {
    return new Scores(Sketch.read(in, WINDOW), Sketch.read(in, WINDOW));
  }
}
