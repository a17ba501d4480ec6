package madderrudder.estimates;

/** Where a run ended, seen from its prediction interval. */
enum IntervalSide {
  BELOW(-1),
  INSIDE(0),
  ABOVE(1);

  final int sign;

  IntervalSide(int sign) {
    this.sign = sign;
  }
}
