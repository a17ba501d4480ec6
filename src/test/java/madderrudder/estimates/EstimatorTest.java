package madderrudder.estimates;

import static madderrudder.estimates.Runs.SECOND;
import static madderrudder.estimates.Runs.ask;
import static madderrudder.estimates.Runs.logNormal;
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

/** Estimates from difficult histories; isolated, since one test measures memory. */
@Isolated
class EstimatorTest {
  private final Estimator estimator = new Estimator(1_000, 1_000);
  private final RandomGenerator random = new SplittableRandom(1);

  private void assertNear(double seconds, long micros, double factor) {
    assertTrue(
        micros >= seconds * SECOND / factor && micros <= seconds * SECOND * factor,
        micros / 1e6 + " s is not within a factor of " + factor + " of " + seconds + " s");
  }

  private static EstimateQuery query(String job, String machineType, long elapsedMicros) {
    return new EstimateQuery(
        Runs.profile(job, "class"), 60 * SECOND, machineType, elapsedMicros, 0.8);
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
  void newClassStartsFromTheOwnerEstimateWithoutConfidence() {
    Estimate estimate = ask(estimator, "new", 100);
    assertNear(100, estimate.medianMicros(), 1.05);
    assertEquals(Level.NONE, estimate.level());
    assertFalse(estimate.isConfident());
    assertTrue(
        estimate.highMicros() > 2 * estimate.lowMicros(), "an interval as if it were confident");
  }

  /** Owners of other classes estimate twice as long as it takes: so may those of this one. */
  @Test
  void newClassIsCorrectedByTheRatiosOfOtherClasses() {
    for (int i = 0; i < 100; i++) {
      estimator.observe(Runs.of("other", 60, 30 * logNormal(random, 0.1)));
    }
    Estimate estimate = ask(estimator, "new", 100);
    assertNear(50, estimate.medianMicros(), 1.15);
    assertEquals(Level.ALL, estimate.level());
    assertFalse(estimate.isConfident());
  }

  @Test
  void isUnknownWithoutOwnerEstimateAndHistory() {
    assertTrue(ask(estimator, "new", 0).isUnknown());
  }

  @Test
  void timesOfOtherClassesSayNothingWithoutAnOwnerEstimate() {
    estimator.observe(Runs.of("other", 0, 30));
    assertTrue(ask(estimator, "new", 0).isUnknown(), "times of other classes say nothing");
  }

  @Test
  void timesOfTheClassAreEnoughWithoutAnOwnerEstimate() {
    estimator.observe(Runs.of("other", 0, 30));
    estimator.observe(Runs.of("new", 0, 20));
    assertNear(20, ask(estimator, "new", 0).medianMicros(), 1.05);
  }

  /** One run that takes a hundred times as long. */
  @ParameterizedTest
  @ValueSource(ints = {5, 500})
  void oneOutlierHardlyMovesTheEstimate(int others) {
    for (int i = 0; i < others; i++) {
      estimator.observe(Runs.of("class", 60, 60 * logNormal(random, 0.05)));
    }
    Estimate before = ask(estimator, "class", 60);
    estimator.observe(Runs.of("class", 60, 6_000));
    Estimate after = ask(estimator, "class", 60);
    assertNear(before.medianMicros() / 1e6, after.medianMicros(), 1.15);
    if (others > 100) {
      assertNear(before.highMicros() / 1e6, after.highMicros(), 1.3);
    }
  }

  @Test
  void runsOnAFaultyMachineAreSetAside() {
    for (int i = 0; i < 300; i++) {
      boolean faulty = i % 3 == 0;
      estimator.observe(
          Runs.of(
              "job-" + i,
              0,
              "class",
              faulty ? "faulty" : "m-" + i % 10,
              60,
              (faulty ? 240 : 60) * logNormal(random, 0.1),
              true));
    }
    assertNear(60, ask(estimator, "class", 60).medianMicros(), 1.1);
    List<String> counts = new ArrayList<>();
    estimator.counts().each((name, count) -> counts.add(name + " " + count));
    assertTrue(
        counts.stream().anyMatch(text -> text.matches("set_aside [6-9]\\d")), counts.toString());
  }

  /** Runs are stopped at any time, so that of the longer ones fewer complete. */
  @Test
  void stoppedRunsCountAsLowerBounds() {
    Estimator ofCompleteRuns = new Estimator(1_000, 1_000);
    double sumWithStopped = 0;
    double sumOfComplete = 0;
    for (int i = 0; i < 900; i++) {
      double whole = 60 * logNormal(random, 0.5);
      double stop = 20 + 100 * random.nextDouble();
      TaskRun run =
          Runs.of("job-" + i, 0, "class", "m-" + i % 50, 60, Math.min(whole, stop), whole <= stop);
      estimator.observe(run);
      if (run.complete()) {
        ofCompleteRuns.observe(run);
      }
      sumWithStopped += i >= 100 ? ask(estimator, "class", 60).medianMicros() / 1e6 : 0;
      sumOfComplete += i >= 100 ? ask(ofCompleteRuns, "class", 60).medianMicros() / 1e6 : 0;
    }
    assertTrue(sumOfComplete / 800 < 53, "nothing to correct: " + sumOfComplete / 800);
    assertEquals(
        60,
        sumWithStopped / 800,
        3,
        "the mean of the medians, " + sumOfComplete / 800 + " without what was stopped");
  }

  @Test
  void tasksOfOneGangAttemptCountAsOneRun() {
    for (int job = 0; job < 10; job++) {
      for (int task = 0; task < 50; task++) {
        TaskRun one =
            Runs.of("gang-" + job, task, "class", "m-" + task, 60, job == 0 ? 600 : 60, true);
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
    assertNear(60, ask(estimator, "class", 60).medianMicros(), 1.1);
  }

  /** The tasks of one job are more alike than its class is. */
  @Test
  void tasksOfTheSameJobWeighMost() {
    for (int i = 0; i < 50; i++) {
      estimator.observe(Runs.of("class", 60, 60 * logNormal(random, 0.6)));
    }
    for (int task = 0; task < 8; task++) {
      estimator.observe(
          Runs.of("array", task, "class", "m-" + task, 60, 200 * logNormal(random, 0.02), true));
    }
    Estimate estimate = estimator.estimate(query("array", "", 0));
    assertNear(200, estimate.medianMicros(), 1.1);
    assertEquals(Level.JOB, estimate.level());
  }

  /** Owners' estimates were half of the truth and are twice it from one job to the next. */
  @Test
  void followsOwnerEstimatesThatChangeAtOnce() {
    for (int i = 0; i < 200; i++) {
      double size = logNormal(random, 1);
      estimator.observe(Runs.of("class", 30 * size, 60 * size * logNormal(random, 0.1)));
    }
    int runs = 0;
    while (Math.abs(ask(estimator, "class", 120).medianMicros() / 60e6 - 1) > 0.25) {
      double size = logNormal(random, 1);
      estimator.observe(Runs.of("class", 120 * size, 60 * size * logNormal(random, 0.1)));
      runs++;
    }
    assertTrue(runs <= 2 * Evidence.CHANGE_POINT_STREAK, "it took " + runs + " runs to follow");
  }

  @Test
  void machineTypesHaveSpeedFactors() {
    for (int i = 0; i < 1_200; i++) {
      TaskRun run = Runs.of("class", 60, (i % 2 == 0 ? 60 : 120) * logNormal(random, 0.05));
      estimator.observe(onMachine(run, i % 2 == 0 ? "fast" : "slow", "m-" + i % 40));
    }
    assertNear(85, estimator.estimate(query("new", "", 0)).medianMicros(), 1.15);
    assertNear(60, estimator.estimate(query("new", "fast", 0)).medianMicros(), 1.15);
    assertNear(120, estimator.estimate(query("new", "slow", 0)).medianMicros(), 1.15);
  }

  /**
   * Tasks with heavy tails on machines of one speed: types once seemed a fourth faster than
   * themselves.
   */
  @Test
  void machineTypesOfOneSpeedHaveNoFactor() {
    for (int i = 0; i < 3_000; i++) {
      TaskRun run = Runs.of("class-" + i % 3, 60, 60 * Math.pow(1 - random.nextDouble(), -1 / 1.5));
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

  /** Runs that ended sooner say nothing about a task that is still running. */
  @Test
  void runningTaskIsEstimatedByRunsThatTakeLonger() {
    for (int i = 0; i < 200; i++) {
      estimator.observe(Runs.of("class", 60, (i % 2 == 0 ? 20 : 100) * logNormal(random, 0.05)));
    }
    Estimate running = estimator.estimate(query("new", "", 40 * SECOND));
    assertNear(100, running.medianMicros(), 1.25);
    assertTrue(running.lowMicros() >= 40 * SECOND);
  }

  @Test
  void taskThatRunsForLongerThanAllOthersIsExpectedToRunOn() {
    for (int i = 0; i < 200; i++) {
      estimator.observe(Runs.of("class", 60, (i % 2 == 0 ? 20 : 100) * logNormal(random, 0.05)));
    }
    Estimate beyondAll = estimator.estimate(query("new", "", 5_000 * SECOND));
    assertTrue(beyondAll.medianMicros() >= 5_000 * SECOND);
  }

  @ParameterizedTest
  @CsvSource({"60, 0", "60, -5", "-1, 60", "60, 9e9", "9e9, 60"})
  void implausibleRunsAreRefused(double ownerEstimateS, double durationS) {
    assertFalse(estimator.observe(Runs.of("class", ownerEstimateS, durationS)));
    assertEquals(0, estimator.size());
    assertNear(60, ask(estimator, "class", 60).medianMicros(), 1.05);
  }

  /** Each run is of a class of its own. */
  @Test
  void memoryIsBoundedByTheNumberOfProfiles() {
    System.gc();
    long before = usedBytes();
    observeClassesOfOneRun(100_000);
    System.gc();
    long grown = usedBytes() - before;
    assertTrue(grown < 24_000_000, "100,000 classes take " + grown + " bytes");
  }

  private static long usedBytes() {
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private void observeClassesOfOneRun(int classes) {
    for (int i = 0; i < classes; i++) {
      estimator.observe(Runs.of("class-" + i, 60, 60 * logNormal(random, 1)));
      assertTrue(estimator.size() <= 1_000);
    }
  }

  /** What all classes have in common has been used each time. */
  @Test
  void leastRecentlyUsedProfilesAreForgotten() {
    observeClassesOfOneRun(100_000);
    assertEquals(Level.ALL, ask(estimator, "class-0", 60).level());
    assertEquals(
        Level.WORK, ask(estimator, "class-99999", 60).runs() > 0 ? Level.WORK : Level.NONE);
  }

  /** Over 2,000 estimates of classes with little and with much noise. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.8, 0.95})
  void intervalsHaveTheCoverageThatTheyPromise(double coverage) {
    int contained = 0;
    for (int i = 0; i < 2_500; i++) {
      double noise = i % 3 == 0 ? 0.6 : 0.1;
      TaskRun run = Runs.of("class-" + i % 3, 60, 60 * logNormal(random, noise));
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
  void explanationNamesTheLevelsThatApply() {
    observeEqualRuns();
    TaskProfile ofOtherTeam = new TaskProfile("new", "class", "basso", "img", Resources.NONE);
    String text = estimator.explain(new EstimateQuery(ofOtherTeam, 60 * SECOND, "", 0, 0.8));
    assertTrue(
        text.contains("; class: ") && text.contains("; all: ") && !text.contains("; team: "), text);
    assertTrue(estimator.explain(query("new", "", 0)).contains("; work: "));
  }

  @Test
  void explanationSaysWhatTheIntervalGoesBy() {
    observeEqualRuns();
    TaskProfile ofOtherTeam = new TaskProfile("new", "class", "basso", "img", Resources.NONE);
    String uncalibrated =
        estimator.explain(new EstimateQuery(ofOtherTeam, 60 * SECOND, "", 0, 0.8));
    assertTrue(uncalibrated.contains("bounds as it is spread"), uncalibrated);
    String calibrated = estimator.explain(query("new", "", 0));
    assertTrue(calibrated.contains("such estimates held"), calibrated);
  }

  private void observeEqualRuns() {
    for (int i = 0; i < 40; i++) {
      estimator.observe(Runs.of("class", 60, 60));
    }
  }
}
