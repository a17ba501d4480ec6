package madderrudder.estimates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;

/** Properties of estimates for any history. */
class EstimatorPropertiesTest {
  /** A step of the grid is a sixteenth of its lower end at most. */
  private static final double STEP = 17.0 / 16;

  private static final double MOST = 64;

  @Provide
  Arbitrary<List<Double>> times() {
    return Arbitraries.doubles().between(0.5, 5_000).ofScale(3).list().ofMinSize(1).ofMaxSize(60);
  }

  static Estimator learned(List<Double> timesS, double guessS) {
    Estimator estimator = new Estimator(100, 100);
    timesS.forEach(time -> estimator.observe(Runs.of("class", guessS, time)));
    return estimator;
  }

  /**
   * Without a guess nothing but what was observed enters; the bounds may lie a factor of 64 from
   * the median at most.
   */
  @Property(tries = 200)
  void estimateLiesWithinTheObservedTimes(
      @ForAll("times") List<Double> timesS,
      @ForAll @DoubleRange(min = 0.1, max = 0.95) double share) {
    Estimator estimator = learned(timesS, 0);
    Estimate estimate =
        estimator.estimate(new EstimateQuery(Runs.profile("new", "class"), 0, "", 0, share));
    double least = 1e6 * Collections.min(timesS) / STEP;
    double most = 1e6 * Collections.max(timesS) * STEP;
    assertTrue(
        estimate.medianMicros() >= least && estimate.medianMicros() <= most,
        estimate + " of " + timesS);
    assertTrue(
        estimate.lowMicros() <= estimate.medianMicros()
            && estimate.medianMicros() <= estimate.highMicros());
    assertTrue(estimate.lowMicros() >= least / MOST && estimate.highMicros() <= MOST * most);
  }

  /**
   * Whatever has run, one outlier more moves the estimate no further than to the next that was seen
   * on either side.
   */
  @Property(tries = 200)
  void oneOutlierMovesTheMedianALittle(@ForAll("times") List<Double> timesS) {
    List<Double> many = new ArrayList<>(timesS);
    while (many.size() < 12) {
      many.addAll(timesS);
    }
    Estimator estimator = learned(many, 0);
    double before = Runs.ask(estimator, "class", 0).medianMicros() / 1e6;
    estimator.observe(Runs.of("class", 0, 1e6));
    double after = Runs.ask(estimator, "class", 0).medianMicros() / 1e6;
    assertTrue(
        after <= STEP * Collections.max(many) || after <= before * STEP,
        "from " + before + " to " + after + " by an outlier among " + many);
  }

  /** Counts on one grid add up the same in whatever order. */
  @Property(tries = 100)
  void mergingGivesTheSameInAnyOrder(
      @ForAll("times") List<Double> one,
      @ForAll("times") List<Double> two,
      @ForAll("times") List<Double> three,
      @ForAll Random random) {
    List<List<Double>> parts = new ArrayList<>(List.of(one, two, three));
    Estimator straight = new Estimator(100, 100);
    parts.forEach(part -> straight.merge(learned(part, 60)));
    Collections.shuffle(parts, random);
    Estimator shuffled = new Estimator(100, 100);
    parts.forEach(part -> shuffled.merge(learned(part, 60)));
    Estimate a = Runs.ask(straight, "class", 60);
    Estimate b = Runs.ask(shuffled, "class", 60);
    // The losses by which ratio or time is chosen are means, and may differ in their last digits.
    assertEquals(a.runs(), b.runs());
    assertEquals((double) a.medianMicros(), (double) b.medianMicros(), a.medianMicros() / 1e5);
    assertEquals((double) a.highMicros(), (double) b.highMicros(), a.highMicros() / 1e5);
  }
}
