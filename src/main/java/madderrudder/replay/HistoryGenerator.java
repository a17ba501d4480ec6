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
 * Generates a synthetic history, the same for the same seed: classes whose run times are log-normal
 * with little, some and much noise, have two modes, drift, change all at once, have nothing to do
 * with the owner's estimate or follow it closely, have a heavy tail, or differ from job to job; one
 * class begins late. Some tasks are stopped, machines are of two speeds, and one in a hundred is
 * faulty and takes three times as long.
 */
public final class HistoryGenerator {
  private static final int MACHINES = 200;
  private static final int FAULTY_MACHINE_INTERVAL = 100;
  private static final double FAULTY_MACHINE_FACTOR = 3;
  private static final double SLOW_TYPE_FACTOR = 1.25;
  private static final double STOP_PROBABILITY = 0.03;
  private static final double LATE_CLASS_START = 0.6;
  private static final int TEAMS = 3;
  private static final int IMAGES = 3;
  private static final int MAX_ARRAY_TASKS = 20;
  private static final int MAX_TASKS = 3;
  private static final double HEAVY_TAIL_SHAPE = 1.5;
  private static final double MEDIAN_SECONDS = 60;
  private static final long MIN_MICROS = 1_000;
  private static final Resources TASK_RESOURCES = new Resources(4_000, 0, 8_000);

  private static final List<Shape> SHAPES = List.of(Shape.values());

  private final UniformRandomProvider random;
  private final long runs;
  private final Map<String, Double> factors = new HashMap<>();
  private long generatedRuns;
  private int generatedJobs;
  private double clockSeconds;

  /** How the run times of a class are distributed; the last one begins late. */
  private enum Shape {
    STEADY(0.1),
    NOISY(0.2),
    WILD(0.6),
    HUMPS(0.05),
    DRIFTING(0.1),
    TURNING(0.1),
    BLIND(0.1),
    FOLLOWING(0.15),
    HEAVY(0),
    ARRAYS(0.08),
    LATE(0.1);

    /** The standard deviation of the logarithm of the run times. */
    private final double noise;

    Shape(double noise) {
      this.noise = noise;
    }

    private String className() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Whether jobs are of all sizes, which their owners know. */
    private boolean hasJobSizes() {
      return this == FOLLOWING || this == DRIFTING || this == TURNING;
    }
  }

  /**
   * What the run times of a job's tasks are drawn from, in seconds.
   *
   * @param ownerEstimate the owner's estimate
   * @param median the median that an oracle would predict
   * @param jobFactor by how much this job's tasks take longer, which no oracle knows
   */
  private record JobTimes(double ownerEstimate, double median, double jobFactor) {}

  /** A run and what an oracle would predict of it. */
  private record GeneratedRun(EndedRun ended, long oracleMicros) {
    private long endMicros() {
      return ended.atWallMicros();
    }
  }

  /** A generator of so many runs. */
  public HistoryGenerator(long seed, long runs) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.runs = runs;
  }

  /**
   * Generates all runs, in the order in which they end. May be called once.
   *
   * @throws IOException if the consumer fails
   */
  public void generate(HistoryReader.RunConsumer consumer) throws IOException {
    PriorityQueue<GeneratedRun> running =
        new PriorityQueue<>(Comparator.comparingLong(GeneratedRun::endMicros));
    while (generatedRuns < runs) {
      clockSeconds += -Math.log(1 - random.nextDouble());
      generateJob(running);
      while (!running.isEmpty() && running.peek().endMicros() < clockSeconds * 1e6) {
        pass(running.poll(), consumer);
      }
    }
    while (!running.isEmpty()) {
      pass(running.poll(), consumer);
    }
  }

  private static void pass(GeneratedRun run, HistoryReader.RunConsumer consumer)
      throws IOException {
    consumer.accept(run.ended(), run.oracleMicros());
  }

  private double logNormal(double deviation) {
    return deviation == 0
        ? 1
        : LogNormalDistribution.of(0, deviation).createSampler(random).sample();
  }

  /** A factor that is the same for all jobs of the name, drawn when the name first comes up. */
  private double factor(String name, double deviation) {
    return factors.computeIfAbsent(name, added -> logNormal(deviation));
  }

  /** The order of the random draws, here and below, decides which history a seed stands for. */
  private void generateJob(PriorityQueue<GeneratedRun> running) {
    double progress = (double) generatedRuns / runs;
    int begunShapes = progress < LATE_CLASS_START ? SHAPES.size() - 1 : SHAPES.size();
    Shape shape = SHAPES.get(random.nextInt(begunShapes));
    String team = "team-" + random.nextInt(TEAMS);
    String image = "img-" + random.nextInt(IMAGES);
    JobTimes times = drawTimes(shape, team, image, progress);
    int tasks = 1 + random.nextInt(shape == Shape.ARRAYS ? MAX_ARRAY_TASKS : MAX_TASKS);
    TaskProfile profile =
        new TaskProfile("job-" + ++generatedJobs, shape.className(), team, image, TASK_RESOURCES);
    for (int task = 0; task < tasks && generatedRuns < runs; task++) {
      running.add(generateRun(profile, task, shape, times));
    }
  }

  private JobTimes drawTimes(Shape shape, String team, String image, double progress) {
    String ofTeam = shape.className() + "/" + team;
    double median = MEDIAN_SECONDS * factor(ofTeam + "/" + image, 0.8);
    double ownerEstimate = median * factor(ofTeam, 0.4);
    if (shape.hasJobSizes()) {
      double size = logNormal(1);
      ownerEstimate *= size;
      median *= size;
    }
    return switch (shape) {
      case FOLLOWING -> new JobTimes(ownerEstimate, median, logNormal(shape.noise));
      case BLIND -> new JobTimes(MEDIAN_SECONDS * logNormal(0.8), median, 1);
      case DRIFTING -> {
        double drift = Math.pow(2, Math.sin(6 * Math.PI * progress));
        yield new JobTimes(ownerEstimate * drift, median, 1);
      }
      case TURNING -> new JobTimes(median * (progress < 0.5 ? 0.5 : 2), median, 1);
      case ARRAYS -> new JobTimes(ownerEstimate, median, logNormal(0.5));
      default -> new JobTimes(ownerEstimate, median, 1);
    };
  }

  private GeneratedRun generateRun(TaskProfile profile, int task, Shape shape, JobTimes times) {
    int machine = random.nextInt(MACHINES);
    boolean slowType = machine % 2 == 1;
    boolean faulty = machine % FAULTY_MACHINE_INTERVAL == 0;
    double oracle = times.median() * (slowType ? SLOW_TYPE_FACTOR : 1);
    double duration =
        oracle * times.jobFactor() * noise(shape) * (faulty ? FAULTY_MACHINE_FACTOR : 1);
    boolean stopped = random.nextDouble() < STOP_PROBABILITY;
    if (stopped) {
      duration *= random.nextDouble();
    }
    TaskRun run =
        new TaskRun(
            profile,
            task,
            ++generatedRuns,
            slowType ? "slow" : "fast",
            "m-" + machine,
            micros(times.ownerEstimate()),
            micros(duration),
            !stopped);
    return new GeneratedRun(new EndedRun(micros(clockSeconds + duration), run), micros(oracle));
  }

  private double noise(Shape shape) {
    return switch (shape) {
      case HUMPS -> logNormal(shape.noise) * (random.nextDouble() < 0.75 ? 1 : 3);
      case HEAVY ->
          ParetoDistribution.of(1, HEAVY_TAIL_SHAPE).createSampler(random).sample()
              / Math.pow(2, 1 / HEAVY_TAIL_SHAPE);
      default -> logNormal(shape.noise);
    };
  }

  private static long micros(double seconds) {
    return Math.max(MIN_MICROS, Math.round(seconds * 1e6));
  }
}
