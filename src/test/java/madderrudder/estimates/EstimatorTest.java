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

/** What the estimator makes of hard histories; alone, since it measures memory. */
@Isolated
class EstimatorTest {
  private final Estimator estimator = new Estimator(1_000, 1_000);
  private final RandomGenerator random = new SplittableRandom(1);

  private void assertNear(double seconds, long micros, double factor) {
    assertTrue(
        micros >= seconds * SECOND / factor && micros <= seconds * SECOND * factor,
        micros / 1e6 + " s is not within a factor of " + factor + " of " + seconds + " s");
  }

  @Test
  void aNewClassBeginsWithItsGuessAndSaysThatItIsUnsure() {
    Estimate first = ask(estimator, "new", 100);
    assertNear(100, first.medianMicros(), 1.05);
    assertEquals(Level.NONE, first.level());
    assertFalse(first.isConfident());
    assertTrue(first.highMicros() > 2 * first.lowMicros(), "as if it knew");
    // Owners of other classes guess twice as long as it takes: so may those of this one.
    for (int i = 0; i < 100; i++) {
      estimator.observe(Runs.of("other", 60, 30 * logNormal(random, 0.1)));
    }
    Estimate second = ask(estimator, "new", 100);
    assertNear(50, second.medianMicros(), 1.15);
    assertEquals(Level.ALL, second.level());
    assertFalse(second.isConfident());
  }

  @Test
  void withoutGuessOrHistoryNothingIsSaid() {
    assertTrue(ask(estimator, "new", 0).isUnknown());
    estimator.observe(Runs.of("other", 0, 30));
    assertTrue(ask(estimator, "new", 0).isUnknown(), "times of other classes say nothing");
    estimator.observe(Runs.of("new", 0, 20));
    assertNear(20, ask(estimator, "new", 0).medianMicros(), 1.05);
  }

  /** One run that takes a hundred times as long. */
  @ParameterizedTest
  @ValueSource(ints = {5, 500})
  void aFreakRunDistortsNothing(int others) {
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
  void aFaultyMachineTeachesNothing() {
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
  void whatWasStoppedCountsAsAtLeast() {
    Estimator untold = new Estimator(1_000, 1_000);
    double told = 0;
    double without = 0;
    for (int i = 0; i < 900; i++) {
      double whole = 60 * logNormal(random, 0.5);
      double stop = 20 + 100 * random.nextDouble();
      TaskRun run =
          Runs.of("job-" + i, 0, "class", "m-" + i % 50, 60, Math.min(whole, stop), whole <= stop);
      estimator.observe(run);
      if (run.complete()) {
        untold.observe(run);
      }
      told += i >= 100 ? ask(estimator, "class", 60).medianMicros() / 1e6 : 0;
      without += i >= 100 ? ask(untold, "class", 60).medianMicros() / 1e6 : 0;
    }
    assertTrue(without / 800 < 53, "nothing to correct: " + without / 800);
    assertEquals(
        60,
        told / 800,
        3,
        "the mean of the medians, " + without / 800 + " without what was stopped");
  }

  @Test
  void tasksOfAGangCountAsOneRun() {
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
  void siblingsSayMost() {
    for (int i = 0; i < 50; i++) {
      estimator.observe(Runs.of("class", 60, 60 * logNormal(random, 0.6)));
    }
    for (int task = 0; task < 8; task++) {
      estimator.observe(
          Runs.of("array", task, "class", "m-" + task, 60, 200 * logNormal(random, 0.02), true));
    }
    Estimate estimate =
        estimator.estimate(
            new EstimateQuery(Runs.profile("array", "class"), 60 * SECOND, "", 0, 0.8));
    assertNear(200, estimate.medianMicros(), 1.1);
    assertEquals(Level.JOB, estimate.level());
  }

  /** Guesses were half of the truth and are twice it from one job to the next. */
  @Test
  void followsGuessesThatTurn() {
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
  void typesOfMachinesDifferInSpeed() {
    for (int i = 0; i < 1_200; i++) {
      TaskRun run = Runs.of("class", 60, (i % 2 == 0 ? 60 : 120) * logNormal(random, 0.05));
      estimator.observe(
          new TaskRun(
              run.profile(),
              0,
              run.attempt(),
              i % 2 == 0 ? "fast" : "slow",
              "m-" + i % 40,
              run.ownerEstimateMicros(),
              run.durationMicros(),
              true));
    }
    EstimateQuery any = new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "", 0, 0.8);
    assertNear(85, estimator.estimate(any).medianMicros(), 1.15);
    EstimateQuery fast =
        new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "fast", 0, 0.8);
    EstimateQuery slow =
        new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "slow", 0, 0.8);
    assertNear(60, estimator.estimate(fast).medianMicros(), 1.15);
    assertNear(120, estimator.estimate(slow).medianMicros(), 1.15);
  }

  /**
   * Tasks with heavy tails on machines of one speed: types once seemed a fourth faster than
   * themselves.
   */
  @Test
  void typesOfOneSpeedAreNotToldApart() {
    for (int i = 0; i < 3_000; i++) {
      TaskRun run = Runs.of("class-" + i % 3, 60, 60 * Math.pow(1 - random.nextDouble(), -1 / 1.5));
      estimator.observe(
          new TaskRun(
              run.profile(),
              0,
              run.attempt(),
              "type-" + i % 2,
              "m-" + i % 40,
              run.ownerEstimateMicros(),
              run.durationMicros(),
              true));
      if (i >= 1_000 && i % 50 == 0) {
        String why =
            estimator.explain(
                new EstimateQuery(run.profile(), run.ownerEstimateMicros(), "type-0", 0, 0.8));
        assertFalse(
            why.contains("take") && !why.matches(".* take (0\\.9|1\\.0)\\d times as long"), why);
      }
    }
  }

  /** Of what runs already, what has ended sooner says nothing. */
  @Test
  void whatRunsAlreadyIsEstimatedByWhatTakesLonger() {
    for (int i = 0; i < 200; i++) {
      estimator.observe(Runs.of("class", 60, (i % 2 == 0 ? 20 : 100) * logNormal(random, 0.05)));
    }
    Estimate running =
        estimator.estimate(
            new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "", 40 * SECOND, 0.8));
    assertNear(100, running.medianMicros(), 1.25);
    assertTrue(running.lowMicros() >= 40 * SECOND);
    Estimate beyondAll =
        estimator.estimate(
            new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "", 5_000 * SECOND, 0.8));
    assertTrue(beyondAll.medianMicros() >= 5_000 * SECOND);
  }

  @ParameterizedTest
  @CsvSource({"60, 0", "60, -5", "-1, 60", "60, 9e9", "9e9, 60"})
  void absurdRunsAreRefused(double guessS, double tookS) {
    assertFalse(estimator.observe(Runs.of("class", guessS, tookS)));
    assertEquals(0, estimator.size());
    assertNear(60, ask(estimator, "class", 60).medianMicros(), 1.05);
  }

  /** Each run is of a class of its own. */
  @Test
  void memoryIsBoundedWhateverComes() {
    System.gc();
    long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    for (int i = 0; i < 100_000; i++) {
      estimator.observe(Runs.of("class-" + i, 60, 60 * logNormal(random, 1)));
      assertTrue(estimator.size() <= 1_000);
    }
    System.gc();
    long grown = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory() - before;
    assertTrue(grown < 24_000_000, "100,000 classes take " + grown + " bytes");
    // What is used is kept: what all have in common has been used each time.
    assertEquals(Level.ALL, ask(estimator, "class-0", 60).level());
    assertEquals(
        Level.WORK, ask(estimator, "class-99999", 60).runs() > 0 ? Level.WORK : Level.NONE);
  }

  /** Noise as it comes: of 2,000 estimates, bounds hold the share that they promise. */
  @ParameterizedTest
  @ValueSource(doubles = {0.5, 0.8, 0.95})
  void boundsHoldWhatTheyPromise(double share) {
    int held = 0;
    for (int i = 0; i < 2_500; i++) {
      double noise = i % 3 == 0 ? 0.6 : 0.1;
      TaskRun run = Runs.of("class-" + i % 3, 60, 60 * logNormal(random, noise));
      Estimate estimate =
          estimator.estimate(
              new EstimateQuery(run.profile(), run.ownerEstimateMicros(), "", 0, share));
      held +=
          i >= 500
                  && run.durationMicros() >= estimate.lowMicros()
                  && run.durationMicros() <= estimate.highMicros()
              ? 1
              : 0;
      estimator.observe(run);
    }
    assertEquals(share, held / 2_000.0, 0.03);
  }

  @Test
  void saysWhy() {
    for (int i = 0; i < 40; i++) {
      estimator.observe(Runs.of("class", 60, 60));
    }
    String other =
        estimator.explain(
            new EstimateQuery(
                new TaskProfile("new", "class", "basso", "img", Resources.NONE),
                60 * SECOND,
                "",
                0,
                0.8));
    assertTrue(
        other.contains("; class: ") && other.contains("; all: ") && !other.contains("; team: "),
        other);
    assertTrue(other.contains("bounds as it is spread"), other);
    String same =
        estimator.explain(new EstimateQuery(Runs.profile("new", "class"), 60 * SECOND, "", 0, 0.8));
    assertTrue(same.contains("; work: ") && same.contains("such estimates held"), same);
  }
}
