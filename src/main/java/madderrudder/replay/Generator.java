package madderrudder.replay;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.Ended;
import madderrudder.protocol.Resources;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.apache.commons.statistics.distribution.LogNormalDistribution;
import org.apache.commons.statistics.distribution.ParetoDistribution;

/**
 * Draws a history of stand-in jobs, the same for the same seed: classes whose times are log-normal
 * with little, some and much noise, have two humps, drift, turn all at once, have nothing to do
 * with the guess or follow it closely, have a heavy tail, or differ from job to job; one class
 * begins late. Some tasks are stopped, machines are of two speeds, and one in a hundred is faulty
 * and takes three times as long.
 */
public final class Generator {
  private static final int MACHINES = 200;
  private static final int FAULTY_EACH = 100;
  private static final double FAULTY_SLOWER = 3;
  private static final double SLOW_TYPE = 1.25;
  private static final double STOPPED = 0.03;
  private static final double LATE_FROM = 0.6;
  private static final int TEAMS = 3;
  private static final int IMAGES = 3;
  private static final int MOST_TASKS = 20;
  private static final double HEAVY_SHAPE = 1.5;

  private final UniformRandomProvider random;
  private final long runs;
  private final Map<String, Double> bases = new HashMap<>();
  private long drawn;
  private int jobs;
  private double clockS;

  /** A kind of class; {@code noise} is the standard deviation of the logarithm of its times. */
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

    private final double noise;

    Shape(double noise) {
      this.noise = noise;
    }
  }

  /** A run and what would have been best to say of it. */
  private record Drawn(Ended ended, long bestMicros) {}

  public Generator(long seed, long runs) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.runs = runs;
  }

  /** Draws all runs, in the order in which they end. */
  public void draw(HistoryReader.Use use) throws IOException {
    PriorityQueue<Drawn> open =
        new PriorityQueue<>(Comparator.comparingLong(one -> one.ended().atWallMicros()));
    while (drawn < runs) {
      clockS += -Math.log(1 - random.nextDouble());
      job(open);
      while (!open.isEmpty() && open.peek().ended().atWallMicros() < clockS * 1e6) {
        Drawn next = open.poll();
        use.run(next.ended(), next.bestMicros());
      }
    }
    while (!open.isEmpty()) {
      Drawn next = open.poll();
      use.run(next.ended(), next.bestMicros());
    }
  }

  private double logNormal(double deviation) {
    return deviation == 0
        ? 1
        : LogNormalDistribution.of(0, deviation).createSampler(random).sample();
  }

  /** What is the same for all jobs of one name, drawn when it first comes up. */
  private double base(String name, double deviation) {
    return bases.computeIfAbsent(name, n -> logNormal(deviation));
  }

  private void job(PriorityQueue<Drawn> open) {
    List<Shape> shapes = List.of(Shape.values());
    double passed = (double) drawn / runs;
    Shape shape =
        shapes.get(random.nextInt(passed < LATE_FROM ? shapes.size() - 1 : shapes.size()));
    String jobClass = shape.name().toLowerCase(java.util.Locale.ROOT);
    String team = "team-" + random.nextInt(TEAMS);
    String image = "img-" + random.nextInt(IMAGES);
    String work = jobClass + "/" + team + "/" + image;
    double usual = 60 * base(work, 0.8);
    double guess = usual * base(jobClass + "/" + team, 0.4);
    double jobNoise = 1;
    if (shape == Shape.FOLLOWING || shape == Shape.DRIFTING || shape == Shape.TURNING) {
      // Jobs of all sizes, which their owners know.
      double size = logNormal(1);
      guess *= size;
      usual *= size;
    }
    switch (shape) {
      case FOLLOWING -> jobNoise = logNormal(shape.noise);
      case BLIND -> guess = 60 * logNormal(0.8);
      case DRIFTING -> guess *= Math.pow(2, Math.sin(6 * Math.PI * passed));
      case TURNING -> guess = usual * (passed < 0.5 ? 0.5 : 2);
      case ARRAYS -> jobNoise = logNormal(0.5);
      default -> {}
    }
    int tasks = shape == Shape.ARRAYS ? 1 + random.nextInt(MOST_TASKS) : 1 + random.nextInt(3);
    TaskProfile profile =
        new TaskProfile("job-" + ++jobs, jobClass, team, image, new Resources(4_000, 0, 8_000));
    for (int task = 0; task < tasks && drawn < runs; task++) {
      int machine = random.nextInt(MACHINES);
      boolean slowType = machine % 2 == 1;
      double best = usual * (slowType ? SLOW_TYPE : 1);
      double took =
          best * jobNoise * noise(shape) * (machine % FAULTY_EACH == 0 ? FAULTY_SLOWER : 1);
      boolean stopped = random.nextDouble() < STOPPED;
      took *= stopped ? random.nextDouble() : 1;
      TaskRun run =
          new TaskRun(
              profile,
              task,
              ++drawn,
              slowType ? "slow" : "fast",
              "m-" + machine,
              micros(guess),
              micros(took),
              !stopped);
      open.add(new Drawn(new Ended(micros(clockS + took), run), micros(best)));
    }
  }

  private double noise(Shape shape) {
    return switch (shape) {
      case HUMPS -> logNormal(shape.noise) * (random.nextDouble() < 0.75 ? 1 : 3);
      case HEAVY ->
          ParetoDistribution.of(1, HEAVY_SHAPE).createSampler(random).sample()
              / Math.pow(2, 1 / HEAVY_SHAPE);
      default -> logNormal(shape.noise);
    };
  }

  private static long micros(double seconds) {
    return Math.max(1_000, Math.round(seconds * 1e6));
  }
}
