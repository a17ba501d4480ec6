package madderrudder.estimates;

/** The position of a run time relative to its prediction interval. */
enum IntervalSide {
  BELOW(-1),
  INSIDE(0),
  ABOVE(1);

  /** -1 below the lower bound, 0 inside, 1 above the upper bound. */
  final int sign;

  IntervalSide(int sign) {
    this.sign = sign;
  }
}
