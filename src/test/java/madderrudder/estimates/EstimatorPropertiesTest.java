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

/**
 * Guards against estimates outside the range of the observed run times, against a large influence
 * of single outliers, and against merges whose result depends on their order.
 */
class EstimatorPropertiesTest {
  /** The maximum ratio of the upper to the lower bound of a histogram bucket. */
  private static final double MAX_BUCKET_RATIO = 17.0 / 16;

  /** The maximum factor between the median and a bound of the prediction interval. */
  private static final double MAX_FACTOR = 64;

  @Provide
  Arbitrary<List<Double>> times() {
    return Arbitraries.doubles().between(0.5, 5_000).ofScale(3).list().ofMinSize(1).ofMaxSize(60);
  }

  static Estimator trainedEstimator(List<Double> timesS, double ownerEstimateS) {
    Estimator estimator = new Estimator(100, 100);
    timesS.forEach(time -> estimator.observe(TaskRunFixture.run("class", ownerEstimateS, time)));
    return estimator;
  }

  /**
   * Without an owner's estimate, estimates depend on the observed runs only. The bounds lie within
   * a factor of 64 of the median.
   */
  @Property(tries = 200)
  void estimateLiesWithinTheObservedTimes(
      @ForAll("times") List<Double> timesS,
      @ForAll @DoubleRange(min = 0.1, max = 0.95) double coverage) {
    Estimator estimator = trainedEstimator(timesS, 0);
    Estimate estimate =
        estimator.estimate(
            new EstimateQuery(TaskRunFixture.profile("new", "class"), 0, "", 0, coverage));
    double minMicros = 1e6 * Collections.min(timesS) / MAX_BUCKET_RATIO;
    double maxMicros = 1e6 * Collections.max(timesS) * MAX_BUCKET_RATIO;
    assertTrue(
        estimate.medianMicros() >= minMicros && estimate.medianMicros() <= maxMicros,
        estimate + " of " + timesS);
    assertTrue(
        estimate.lowMicros() <= estimate.medianMicros()
            && estimate.medianMicros() <= estimate.highMicros());
    assertTrue(
        estimate.lowMicros() >= minMicros / MAX_FACTOR
            && estimate.highMicros() <= MAX_FACTOR * maxMicros);
  }

  /**
   * A single outlier moves the median at most to the largest other observation, up to one histogram
   * bucket.
   */
  @Property(tries = 200)
  void singleOutlierBarelyMovesTheMedian(@ForAll("times") List<Double> timesS) {
    List<Double> manyTimesS = new ArrayList<>(timesS);
    while (manyTimesS.size() < 12) {
      manyTimesS.addAll(timesS);
    }
    Estimator estimator = trainedEstimator(manyTimesS, 0);
    double before = TaskRunFixture.estimate(estimator, "class", 0).medianMicros() / 1e6;
    estimator.observe(TaskRunFixture.run("class", 0, 1e6));
    double after = TaskRunFixture.estimate(estimator, "class", 0).medianMicros() / 1e6;
    assertTrue(
        after <= MAX_BUCKET_RATIO * Collections.max(manyTimesS)
            || after <= before * MAX_BUCKET_RATIO,
        "from " + before + " to " + after + " by an outlier among " + manyTimesS);
  }

  /**
   * All histograms have the same bucket bounds, so the sums of their counts do not depend on the
   * order of merges.
   */
  @Property(tries = 100)
  void mergeResultIsIndependentOfOrder(
      @ForAll("times") List<Double> firstS,
      @ForAll("times") List<Double> secondS,
      @ForAll("times") List<Double> thirdS,
      @ForAll Random random) {
    List<List<Double>> parts = new ArrayList<>(List.of(firstS, secondS, thirdS));
    Estimator inOrder = new Estimator(100, 100);
    parts.forEach(part -> inOrder.merge(trainedEstimator(part, 60)));
    Collections.shuffle(parts, random);
    Estimator shuffled = new Estimator(100, 100);
    parts.forEach(part -> shuffled.merge(trainedEstimator(part, 60)));
    Estimate expected = TaskRunFixture.estimate(inOrder, "class", 60);
    Estimate actual = TaskRunFixture.estimate(shuffled, "class", 60);
    // The losses that select the basis are floating-point means, which may differ by rounding
    // errors.
    assertEquals(expected.runs(), actual.runs());
    assertEquals(
        (double) expected.medianMicros(),
        (double) actual.medianMicros(),
        expected.medianMicros() / 1e5);
    assertEquals(
        (double) expected.highMicros(), (double) actual.highMicros(), expected.highMicros() / 1e5);
  }
}
