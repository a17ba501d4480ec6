package madderrudder.estimates;

import static madderrudder.estimates.TaskRunFixture.MICROS_PER_SECOND;
import static madderrudder.estimates.TaskRunFixture.estimate;
import static madderrudder.estimates.TaskRunFixture.logNormal;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import madderrudder.protocol.Resources;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against wrong estimates for histories with sparse, noisy, censored or changing data, and
 * against unbounded memory. Isolated because one test measures the used memory.
 */
@Isolated
class EstimatorTest {
  private final Estimator estimator = new Estimator(1_000, 1_000);
  private final RandomGenerator random = new SplittableRandom(1);

  private void assertNear(double seconds, long micros, double factor) {
    assertTrue(
        micros >= seconds * MICROS_PER_SECOND / factor
            && micros <= seconds * MICROS_PER_SECOND * factor,
        micros / 1e6 + " s is not within a factor of " + factor + " of " + seconds + " s");
  }

  private static EstimateQuery query(String job, String machineType, long elapsedMicros) {
    return new EstimateQuery(
        TaskRunFixture.profile(job, "class"),
        60 * MICROS_PER_SECOND,
        machineType,
        elapsedMicros,
        0.8);
  }

  private static TaskRun onMachine(TaskRun run, String machineType, String machine) {
    return new TaskRun(
        run.profile(),
        0,
        run.attempt(),
        machineType,
        machine,
        run.ownerEstimateMicros(),
        run.durationMicros(),
        true);
  }

  @Test
  void newClassUsesOwnerEstimateWithoutConfidence() {
    Estimate estimate = estimate(estimator, "new", 100);
    assertNear(100, estimate.medianMicros(), 1.05);
    assertEquals(Level.NONE, estimate.level());
    assertFalse(estimate.isConfident());
    assertTrue(
        estimate.highMicros() > 2 * estimate.lowMicros(),
        "the interval is too narrow for an estimate without runs");
  }

  /**
   * Owners' estimates of another class are twice the run times, so those of a new class are halved.
   */
  @Test
  void newClassIsCorrectedByTheRatiosOfOtherClasses() {
    for (int i = 0; i < 100; i++) {
      estimator.observe(TaskRunFixture.run("other", 60, 30 * logNormal(random, 0.1)));
    }
    Estimate estimate = estimate(estimator, "new", 100);
    assertNear(50, estimate.medianMicros(), 1.15);
    assertEquals(Level.ALL, estimate.level());
    assertFalse(estimate.isConfident());
  }

  @Test
  void estimateIsUnknownWithoutOwnerEstimateAndRuns() {
    assertTrue(estimate(estimator, "new", 0).isUnknown());
  }

  @Test
  void runTimesOfOtherClassesAreIgnoredWithoutOwnerEstimate() {
    estimator.observe(TaskRunFixture.run("other", 0, 30));
    assertTrue(estimate(estimator, "new", 0).isUnknown(), "run times of other classes were used");
  }

  @Test
  void runTimesOfTheClassSufficeWithoutOwnerEstimate() {
    estimator.observe(TaskRunFixture.run("other", 0, 30));
    estimator.observe(TaskRunFixture.run("new", 0, 20));
    assertNear(20, estimate(estimator, "new", 0).medianMicros(), 1.05);
  }

  /** A single run that takes a hundred times as long as the others barely moves the estimate. */
  @ParameterizedTest
  @ValueSource(ints = {5, 500})
  void singleOutlierBarelyMovesTheEstimate(int otherRuns) {
    for (int i = 0; i < otherRuns; i++) {
      estimator.observe(TaskRunFixture.run("class", 60, 60 * logNormal(random, 0.05)));
    }
    Estimate before = estimate(estimator, "class", 60);
    estimator.observe(TaskRunFixture.run("class", 60, 6_000));
    Estimate after = estimate(estimator, "class", 60);
    assertNear(before.medianMicros() / 1e6, after.medianMicros(), 1.15);
    if (otherRuns > 100) {
      assertNear(before.highMicros() / 1e6, after.highMicros(), 1.3);
    }
  }

  @Test
  void runsOnFaultyMachineAreExcluded() {
    for (int i = 0; i < 300; i++) {
      boolean faulty = i % 3 == 0;
      estimator.observe(
          TaskRunFixture.run(
              "job-" + i,
              0,
              "class",
              faulty ? "faulty" : "m-" + i % 10,
              60,
              (faulty ? 240 : 60) * logNormal(random, 0.1),
              true));
    }
    assertNear(60, estimate(estimator, "class", 60).medianMicros(), 1.1);
    List<String> counts = new ArrayList<>();
    estimator.counts().forEach((name, count) -> counts.add(name + " " + count));
    assertTrue(
        counts.stream().anyMatch(text -> text.matches("set_aside [6-9]\\d")), counts.toString());
  }

  /**
   * Long runs are censored more often than short ones, so the complete runs alone underestimate the
   * median.
   */
  @Test
  void censoredRunsCountAsLowerBounds() {
    Estimator completeRunsEstimator = new Estimator(1_000, 1_000);
    double sumWithCensored = 0;
    double sumOfComplete = 0;
    for (int i = 0; i < 900; i++) {
      double completeS = 60 * logNormal(random, 0.5);
      double censoredAtS = 20 + 100 * random.nextDouble();
      TaskRun run =
          TaskRunFixture.run(
              "job-" + i,
              0,
              "class",
              "m-" + i % 50,
              60,
              Math.min(completeS, censoredAtS),
              completeS <= censoredAtS);
      estimator.observe(run);
      if (run.complete()) {
        completeRunsEstimator.observe(run);
      }
      sumWithCensored += i >= 100 ? estimate(estimator, "class", 60).medianMicros() / 1e6 : 0;
      sumOfComplete +=
          i >= 100 ? estimate(completeRunsEstimator, "class", 60).medianMicros() / 1e6 : 0;
    }
    assertTrue(
        sumOfComplete / 800 < 53, "complete runs alone show no bias: " + sumOfComplete / 800);
    assertEquals(
        60,
        sumWithCensored / 800,
        3,
        "mean of the medians; " + sumOfComplete / 800 + " without censored runs");
  }

  @Test
  void tasksOfOneGangAttemptCountAsOneRun() {
    for (int job = 0; job < 10; job++) {
      for (int task = 0; task < 50; task++) {
        TaskRun one =
            TaskRunFixture.run(
                "gang-" + job, task, "class", "m-" + task, 60, job == 0 ? 600 : 60, true);
        estimator.observe(
            new TaskRun(
                one.profile(),
                task,
                job,
                "",
                one.machine(),
                one.ownerEstimateMicros(),
                one.durationMicros(),
                true));
      }
    }
    assertNear(60, estimate(estimator, "class", 60).medianMicros(), 1.1);
  }

  /** Tasks of the same job are more similar than tasks of the same class. */
  @Test
  void tasksOfSameJobHaveLargestWeight() {
    for (int i = 0; i < 50; i++) {
      estimator.observe(TaskRunFixture.run("class", 60, 60 * logNormal(random, 0.6)));
    }
    for (int task = 0; task < 8; task++) {
      estimator.observe(
          TaskRunFixture.run(
              "array", task, "class", "m-" + task, 60, 200 * logNormal(random, 0.02), true));
    }
    Estimate estimate = estimator.estimate(query("array", "", 0));
    assertNear(200, estimate.medianMicros(), 1.1);
    assertEquals(Level.JOB, estimate.level());
  }

  /** Owners' estimates change from half to twice the run times between two jobs. */
  @Test
  void adaptsToAbruptChangeOfOwnerEstimates() {
    for (int i = 0; i < 200; i++) {
      double size = logNormal(random, 1);
      estimator.observe(TaskRunFixture.run("class", 30 * size, 60 * size * logNormal(random, 0.1)));
    }
    int runsUntilAdapted = 0;
    while (Math.abs(estimate(estimator, "class", 120).medianMicros() / 60e6 - 1) > 0.25) {
      double size = logNormal(random, 1);
      estimator.observe(
          TaskRunFixture.run("class", 120 * size, 60 * size * logNormal(random, 0.1)));
      runsUntilAdapted++;
    }
    assertTrue(
        runsUntilAdapted <= 2 * Evidence.CHANGE_POINT_STREAK,
        "it took " + runsUntilAdapted + " runs to adapt");
  }

  @Test
  void estimatesDependOnSpeedOfMachineType() {
    for (int i = 0; i < 1_200; i++) {
      TaskRun run =
          TaskRunFixture.run("class", 60, (i % 2 == 0 ? 60 : 120) * logNormal(random, 0.05));
      estimator.observe(onMachine(run, i % 2 == 0 ? "fast" : "slow", "m-" + i % 40));
    }
    assertNear(85, estimator.estimate(query("new", "", 0)).medianMicros(), 1.15);
    assertNear(60, estimator.estimate(query("new", "fast", 0)).medianMicros(), 1.15);
    assertNear(120, estimator.estimate(query("new", "slow", 0)).medianMicros(), 1.15);
  }

  /**
   * Guards against spurious speed factors: heavy-tailed run times on machine types of equal speed
   * once made a type seem 25% faster.
   */
  @Test
  void machineTypesOfEqualSpeedHaveNoSpeedFactor() {
    for (int i = 0; i < 3_000; i++) {
      TaskRun run =
          TaskRunFixture.run(
              "class-" + i % 3, 60, 60 * Math.pow(1 - random.nextDouble(), -1 / 1.5));
      estimator.observe(onMachine(run, "type-" + i % 2, "m-" + i % 40));
      if (i >= 1_000 && i % 50 == 0) {
        String why =
            estimator.explain(
                new EstimateQuery(run.profile(), run.ownerEstimateMicros(), "type-0", 0, 0.8));
        assertFalse(
            why.contains("take") && !why.matches(".* take (0\\.9|1\\.0)\\d times as long"), why);
      }
    }
  }

  /** Runs shorter than the elapsed time carry no information about a running task. */
  @Test
  void estimateOfRunningTaskIsConditionalOnLongerRuns() {
    for (int i = 0; i < 200; i++) {
      estimator.observe(
          TaskRunFixture.run("class", 60, (i % 2 == 0 ? 20 : 100) * logNormal(random, 0.05)));
    }
    Estimate running = estimator.estimate(query("new", "", 40 * MICROS_PER_SECOND));
    assertNear(100, running.medianMicros(), 1.25);
    assertTrue(running.lowMicros() >= 40 * MICROS_PER_SECOND);
  }

  @Test
  void estimateIsAtLeastElapsedTimeBeyondAllRuns() {
    for (int i = 0; i < 200; i++) {
      estimator.observe(
          TaskRunFixture.run("class", 60, (i % 2 == 0 ? 20 : 100) * logNormal(random, 0.05)));
    }
    Estimate estimate = estimator.estimate(query("new", "", 5_000 * MICROS_PER_SECOND));
    assertTrue(estimate.medianMicros() >= 5_000 * MICROS_PER_SECOND);
  }

  @ParameterizedTest
  @CsvSource({"60, 0", "60, -5", "-1, 60", "60, 9e9", "9e9, 60"})
  void implausibleRunsAreRejected(double ownerEstimateS, double durationS) {
    assertFalse(estimator.observe(TaskRunFixture.run("class", ownerEstimateS, durationS)));
    assertEquals(0, estimator.profileCount());
    assertNear(60, estimate(estimator, "class", 60).medianMicros(), 1.05);
  }

  /** Each run belongs to a different class. */
  @Test
  void memoryIsBoundedByTheNumberOfProfiles() {
    System.gc();
    long before = usedBytes();
    observeSingleRunClasses(100_000);
    System.gc();
    long grown = usedBytes() - before;
    assertTrue(grown < 24_000_000, "100,000 classes take " + grown + " bytes");
  }

  private static long usedBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void observeSingleRunClasses(int classes) {
    for (int i = 0; i < classes; i++) {
      estimator.observe(TaskRunFixture.run("class-" + i, 60, 60 * logNormal(random, 1)));
      assertTrue(estimator.profileCount() <= 1_000);
    }
  }

  /** Each run uses the profile of all classes, so this profile is never evicted. */
  @Test
  void leastRecentlyUsedProfilesAreEvicted() {
    observeSingleRunClasses(100_000);
    assertEquals(Level.ALL, estimate(estimator, "class-0", 60).level());
    assertEquals(
        Level.WORK, estimate(estimator, "class-99999", 60).runs() > 0 ? Level.WORK : Level.NONE);
  }

  /** Measures the coverage over 2,000 estimates of classes with low and high variance. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.8, 0.95})
  void intervalsHaveNominalCoverage(double coverage) {
    int contained = 0;
    for (int i = 0; i < 2_500; i++) {
      double noise = i % 3 == 0 ? 0.6 : 0.1;
      TaskRun run = TaskRunFixture.run("class-" + i % 3, 60, 60 * logNormal(random, noise));
      Estimate estimate =
          estimator.estimate(
              new EstimateQuery(run.profile(), run.ownerEstimateMicros(), "", 0, coverage));
      contained +=
          i >= 500
                  && run.durationMicros() >= estimate.lowMicros()
                  && run.durationMicros() <= estimate.highMicros()
              ? 1
              : 0;
      estimator.observe(run);
    }
    assertEquals(coverage, contained / 2_000.0, 0.03);
  }

  @Test
  void explanationListsLevelsWithRuns() {
    observeEqualRuns();
    TaskProfile profileOfOtherTeam =
        new TaskProfile("new", "class", "basso", "img", Resources.NONE);
    String text =
        estimator.explain(
            new EstimateQuery(profileOfOtherTeam, 60 * MICROS_PER_SECOND, "", 0, 0.8));
    assertTrue(
        text.contains("; class: ") && text.contains("; all: ") && !text.contains("; team: "), text);
    assertTrue(estimator.explain(query("new", "", 0)).contains("; work: "));
  }

  @Test
  void explanationStatesIntervalCalibration() {
    observeEqualRuns();
    TaskProfile profileOfOtherTeam =
        new TaskProfile("new", "class", "basso", "img", Resources.NONE);
    String uncalibrated =
        estimator.explain(
            new EstimateQuery(profileOfOtherTeam, 60 * MICROS_PER_SECOND, "", 0, 0.8));
    assertTrue(uncalibrated.contains("; interval not calibrated"), uncalibrated);
    String calibrated = estimator.explain(query("new", "", 0));
    assertTrue(
        calibrated.matches(".*; interval calibrated on \\d+ similar predictions.*"), calibrated);
  }

  private void observeEqualRuns() {
    for (int i = 0; i < 40; i++) {
      estimator.observe(TaskRunFixture.run("class", 60, 60));
    }
  }
}
