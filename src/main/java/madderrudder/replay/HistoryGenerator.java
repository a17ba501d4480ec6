package madderrudder.replay;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.protocol.Resources;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.distribution.LogNormalDistribution;
import org.apache.commons.statistics.distribution.ParetoDistribution;

/**
 * Generates a synthetic history of task runs; the same seed always gives the same history. Each job
 * class has its own {@link Shape} of run times. Some tasks are stopped before their end. Machines
 * have one of two speeds, and one machine in a hundred is faulty and takes three times as long.
 */
public final class HistoryGenerator {
  private static final int MACHINE_COUNT = 200;
  private static final int FAULTY_MACHINE_INTERVAL = 100;
  private static final double FAULTY_MACHINE_SLOWDOWN = 3;
  private static final double SLOW_TYPE_SLOWDOWN = 1.25;
  private static final double STOP_PROBABILITY = 0.03;

  /** The share of the runs that are generated before the first job of {@link Shape#LATE}. */
  private static final double LATE_CLASS_START_PROGRESS = 0.6;

  private static final int TEAM_COUNT = 3;
  private static final int IMAGE_COUNT = 3;
  private static final int MAX_ARRAY_TASKS = 20;
  private static final int MAX_JOB_TASKS = 3;
  private static final double HEAVY_TAIL_INDEX = 1.5;
  private static final double MEDIAN_RUN_SECONDS = 60;
  private static final long MIN_DURATION_MICROS = 1_000;
  private static final Resources TASK_RESOURCES = Resources.of(4, 0, 8);

  private static final List<Shape> SHAPES = List.of(Shape.values());

  private final UniformRandomProvider random;
  private final long runCount;
  private final Map<String, Double> sharedFactors = new HashMap<>();
  private long generatedRuns;
  private int generatedJobs;

  /** The simulated time at which the latest job starts. */
  private double clockSeconds;

  /**
   * The distribution of a job class's run times. Each shape is a class of its own, named after it.
   * Only the last one is missing from the beginning of the history.
   */
  private enum Shape {
    /** Log-normal with little noise. */
    STEADY(0.1),
    /** Log-normal with medium noise. */
    NOISY(0.2),
    /** Log-normal with much noise. */
    WILD(0.6),
    /** Two modes: a quarter of the tasks takes three times as long. */
    HUMPS(0.05),
    /** The ratio of the owner's estimate to the run time drifts in the course of the history. */
    DRIFTING(0.1),
    /** The owner's estimate is half the median in the first half, and twice the median after it. */
    TURNING(0.1),
    /** The owner's estimate is independent of the run time. */
    BLIND(0.1),
    /** Jobs differ widely in size, and the owner's estimate follows the size of the job. */
    FOLLOWING(0.15),
    /** Pareto-distributed: a heavy tail. */
    HEAVY(0),
    /** Many tasks per job; run times differ from job to job more than within a job. */
    ARRAYS(0.08),
    /** As {@link #STEADY}, but without jobs at the beginning of the history. */
    LATE(0.1);

    /** The standard deviation of the logarithm of the noise factor of each task. */
    private final double noiseDeviation;

    Shape(double noiseDeviation) {
      this.noiseDeviation = noiseDeviation;
    }

    private String className() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Whether each job has a random size that its owner's estimate takes into account. */
    private boolean hasJobSizes() {
      return this == FOLLOWING || this == DRIFTING || this == TURNING;
    }
  }

  /**
   * The parameters from which the run times of a job's tasks are drawn.
   *
   * @param ownerEstimateSeconds the owner's estimate
   * @param medianSeconds the median run time on the faster machine type, without the job factor
   * @param jobFactor the factor on the run times of all tasks of the job; it is not part of the
   *     oracle's prediction
   */
  private record JobTimes(double ownerEstimateSeconds, double medianSeconds, double jobFactor) {}

  /**
   * A run, and its run time as predicted by an oracle that uses the true median and the machine
   * type, but not the random factors.
   */
  private record GeneratedRun(EndedRun ended, long oracleMicros) {
    private long endMicros() {
      return ended.atWallMicros();
    }
  }

  /**
   * Creates a generator.
   *
   * @param seed the seed of all random draws
   * @param runCount the number of runs to generate
   */
  public HistoryGenerator(long seed, long runCount) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.runCount = runCount;
  }

  /**
   * Generates all runs, in the order in which they end. Must not be called more than once.
   *
   * @param consumer receives each run and the oracle's prediction of its run time
   * @throws IOException if the consumer fails
   */
  public void generate(HistoryReader.RunConsumer consumer) throws IOException {
    PriorityQueue<GeneratedRun> running =
        new PriorityQueue<>(Comparator.comparingLong(GeneratedRun::endMicros));
    while (generatedRuns < runCount) {
      clockSeconds += -Math.log(1 - random.nextDouble());
      generateJob(running);
      while (!running.isEmpty() && running.peek().endMicros() < clockSeconds * 1e6) {
        emit(running.poll(), consumer);
      }
    }
    while (!running.isEmpty()) {
      emit(running.poll(), consumer);
    }
  }

  private static void emit(GeneratedRun run, HistoryReader.RunConsumer consumer)
      throws IOException {
    consumer.accept(run.ended(), run.oracleMicros());
  }

  private double drawLogNormal(double deviation) {
    return deviation == 0
        ? 1
        : LogNormalDistribution.of(0, deviation).createSampler(random).sample();
  }

  /**
   * Returns the factor shared by all jobs with the key, which is drawn at the first use of the key.
   */
  private double sharedFactor(String key, double deviation) {
    return sharedFactors.computeIfAbsent(key, added -> drawLogNormal(deviation));
  }

  /**
   * Generates the runs of one job. The order of all random draws of this class determines the
   * history of a seed: changing it changes every generated history.
   */
  private void generateJob(PriorityQueue<GeneratedRun> running) {
    double progress = (double) generatedRuns / runCount;
    int availableShapes = progress < LATE_CLASS_START_PROGRESS ? SHAPES.size() - 1 : SHAPES.size();
    Shape shape = SHAPES.get(random.nextInt(availableShapes));
    String team = "team-" + random.nextInt(TEAM_COUNT);
    String image = "img-" + random.nextInt(IMAGE_COUNT);
    JobTimes times = drawTimes(shape, team, image, progress);
    int tasks = 1 + random.nextInt(shape == Shape.ARRAYS ? MAX_ARRAY_TASKS : MAX_JOB_TASKS);
    TaskProfile profile =
        new TaskProfile("job-" + ++generatedJobs, shape.className(), team, image, TASK_RESOURCES);
    for (int task = 0; task < tasks && generatedRuns < runCount; task++) {
      running.add(generateRun(profile, task, shape, times));
    }
  }

  private JobTimes drawTimes(Shape shape, String team, String image, double progress) {
    String teamKey = shape.className() + "/" + team;
    double medianSeconds = MEDIAN_RUN_SECONDS * sharedFactor(teamKey + "/" + image, 0.8);
    double ownerEstimateSeconds = medianSeconds * sharedFactor(teamKey, 0.4);
    if (shape.hasJobSizes()) {
      double size = drawLogNormal(1);
      ownerEstimateSeconds *= size;
      medianSeconds *= size;
    }
    return switch (shape) {
      case FOLLOWING ->
          new JobTimes(ownerEstimateSeconds, medianSeconds, drawLogNormal(shape.noiseDeviation));
      case BLIND -> new JobTimes(MEDIAN_RUN_SECONDS * drawLogNormal(0.8), medianSeconds, 1);
      case DRIFTING -> {
        double drift = Math.pow(2, Math.sin(6 * Math.PI * progress));
        yield new JobTimes(ownerEstimateSeconds * drift, medianSeconds, 1);
      }
      case TURNING -> new JobTimes(medianSeconds * (progress < 0.5 ? 0.5 : 2), medianSeconds, 1);
      case ARRAYS -> new JobTimes(ownerEstimateSeconds, medianSeconds, drawLogNormal(0.5));
      default -> new JobTimes(ownerEstimateSeconds, medianSeconds, 1);
    };
  }

  private GeneratedRun generateRun(
      TaskProfile profile, int taskIndex, Shape shape, JobTimes times) {
    int machine = random.nextInt(MACHINE_COUNT);
    boolean slowType = machine % 2 == 1;
    boolean faulty = machine % FAULTY_MACHINE_INTERVAL == 0;
    double oracleSeconds = times.medianSeconds() * (slowType ? SLOW_TYPE_SLOWDOWN : 1);
    double durationSeconds =
        oracleSeconds
            * times.jobFactor()
            * drawNoiseFactor(shape)
            * (faulty ? FAULTY_MACHINE_SLOWDOWN : 1);
    boolean stopped = random.nextDouble() < STOP_PROBABILITY;
    if (stopped) {
      durationSeconds *= random.nextDouble();
    }
    TaskRun run =
        new TaskRun(
            profile,
            taskIndex,
            ++generatedRuns,
            slowType ? "slow" : "fast",
            "m-" + machine,
            toMicros(times.ownerEstimateSeconds()),
            toMicros(durationSeconds),
            !stopped);
    return new GeneratedRun(
        new EndedRun(toMicros(clockSeconds + durationSeconds), run), toMicros(oracleSeconds));
  }

  private double drawNoiseFactor(Shape shape) {
    return switch (shape) {
      case HUMPS -> drawLogNormal(shape.noiseDeviation) * (random.nextDouble() < 0.75 ? 1 : 3);
      case HEAVY ->
          ParetoDistribution.of(1, HEAVY_TAIL_INDEX).createSampler(random).sample()
              / Math.pow(2, 1 / HEAVY_TAIL_INDEX);
      default -> drawLogNormal(shape.noiseDeviation);
    };
  }

  private static long toMicros(double seconds) {
    return Math.max(MIN_DURATION_MICROS, Math.round(seconds * 1e6));
  }
}
