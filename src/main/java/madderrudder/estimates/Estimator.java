package madderrudder.estimates;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import madderrudder.estimates.Estimate.Basis;
import madderrudder.estimates.TaskProfile.JobKind;
import madderrudder.util.BoundedMap;

/**
 * Learns from tasks that have run how long others will. Each level that has evidence takes n / (n +
 * {@link #DOUBT}) of the weight that more alike levels have left over, so that a new kind of job
 * begins with what it resembles and comes to stand on its own; what all of them leave over is the
 * owner's guess. The bounds are what such estimates have held lately ({@link Scores}). See {@code
 * docs/estimates.md} for the ways that were weighed and what they reached.
 *
 * <p>Has no clock and no store, and is not safe for use by several threads. Memory is bounded by
 * the numbers of kinds and jobs it is given; the least recently used is forgotten.
 */
public final class Estimator {
  /** So many runs of a level weigh as much as all that is less alike. */
  private static final double DOUBT = 4;

  /**
   * Tasks of one job are mostly more alike than anything else; in some classes no more than others
   * are.
   */
  private static final double DOUBT_OF_SIBLINGS = 1;

  private static final double DOUBT_OF_STRANGE_SIBLINGS = 16;

  /** Ratios are kept as whole numbers; this is a ratio of one. */
  private static final long ONE = 1_024;

  /** No ratio is kept, and no bound given, further off than this. */
  private static final long MOST = 64;

  private static final long MILLI = 1_000;

  /**
   * The bounds that observations are judged by, whatever users ask; between them and the median
   * lies a unit.
   */
  private static final double JUDGED_SHARE = 0.8;

  private static final double LEAST_UNIT = 0.02;

  /** The time itself has to foretell better than the ratio by this much, after so many jobs. */
  private static final double BETTER = 0.9;

  private static final int JUDGED_ENOUGH = 8;
  private static final double MOST_LOSS = 3;

  /** So many scores of a class's own are preferred to those of all. */
  private static final int SCORES_ENOUGH = 100;

  private static final int LEAST_SCORES = 20;

  /** A run that was stopped before nearly all others end says nothing. */
  private static final double LEAST_SAID = 0.05;

  private static final double GOLDEN = 0.6180339887498949;

  /** A machine is set aside whose tasks on average end this many units late. */
  private static final double SLOW_UNITS = 1.5;

  private static final int SLOW_RUNS = 4;
  private static final double MACHINE_FORGETTING = 0.1;
  private static final int TYPE_RUNS = 256;
  private static final double TYPE_FORGETTING = 0.002;
  private static final double TYPE_SPEED = 0.05;
  private static final double MOST_TYPE_SPEED = Math.log(4);

  /** The levels whose kinds outlast a job. */
  static final List<Level> KINDS = List.of(Level.WORK, Level.TEAM, Level.CLASS, Level.ALL);

  private final Way way;
  private final Map<JobKind, Evidence> kinds;
  private final Map<Grade, Scores> scores;
  private final Map<String, Siblings> jobs;
  private final Paces machines = new Paces(MACHINE_FORGETTING);
  private final Paces types = new Paces(TYPE_FORGETTING);
  private final Counts counts = new Counts();

  /**
   * The ways to learn that were weighed; {@code docs/estimates.md} has what each of them reached.
   */
  public enum Way {
    /** All levels, by their evidence, of what has run lately. */
    BLEND,
    /** The most alike level with enough runs alone, of what has run lately. */
    NEAREST,
    /** All levels, by their evidence, of all that has ever run. */
    FOREVER;

    int window(Level level) {
      return this == FOREVER ? Integer.MAX_VALUE : level.window;
    }
  }

  /** Tasks of one job. */
  private static final class Siblings {
    private final Sketch times = new Sketch(Level.JOB.window);
    private int seen;
    private long lastAttempt = -1;
  }

  /**
   * Estimates that are about as good: of a class, or of all where its name is empty, by so many
   * runs of the level.
   */
  record Grade(String jobClass, Level level, int evidence) {}

  /** What has happened since this began; counts of runs. */
  public static final class Counts {
    private long learned;
    private long stopped;
    private long refused;
    private long setAside;
    private long shifts;
    private long judged;
    private long within;

    /** Calls with each name and count. */
    public void each(BiConsumer<String, Long> use) {
      use.accept("learned", learned);
      use.accept("stopped", stopped);
      use.accept("refused", refused);
      use.accept("set_aside", setAside);
      use.accept("shifts", shifts);
      use.accept("judged", judged);
      use.accept("within_bounds", within);
    }
  }

  /**
   * A class's ratio of true times to guesses: its median and the bounds that hold the share of its
   * runs.
   */
  public record ClassSummary(
      String jobClass, int runs, double low, double median, double high, double share) {}

  public Estimator(int mostKinds, int mostJobs) {
    this(mostKinds, mostJobs, Way.BLEND);
  }

  public Estimator(int mostKinds, int mostJobs, Way way) {
    this.way = way;
    kinds = BoundedMap.evictingLeastRecentlyUsed(mostKinds);
    scores = BoundedMap.evictingLeastRecentlyUsed(mostKinds);
    jobs = BoundedMap.evictingLeastRecentlyUsed(mostJobs);
  }

  /** A level's part in an estimate. */
  private record Part(Level level, Sketch sketch, double scale, double weight) {}

  /**
   * What is foretold of a task: the mixture and, as logarithms, how far its bounds lie from its
   * median.
   */
  private record Foretold(
      Mixture mixture, double median, double unitBelow, double unitAbove, Level level, int runs) {
    /** How far the time lies from the median, in units; below 0 if it is less. */
    double score(double micros) {
      double off = Math.log(micros / median);
      return off / (off < 0 ? unitBelow : unitAbove);
    }
  }

  /**
   * Takes a run in; false if it is absurd, or one more task of a gang's attempt that has been seen.
   */
  public boolean observe(TaskRun run) {
    if (!run.sane()) {
      counts.refused++;
      return false;
    }
    TaskProfile profile = run.profile();
    Siblings siblings = jobs.computeIfAbsent(profile.job(), job -> new Siblings());
    // The tasks of a gang's attempt run as long as each other: they are one run.
    if (siblings.lastAttempt == run.attempt()) {
      return false;
    }
    siblings.lastAttempt = run.attempt();
    Foretold foretold = foretold(profile, run.guessMicros(), basis(profile, run.guessMicros()));
    double tookMicros = run.tookMicros() / speed(run.type());
    if (!run.complete()) {
      tookMicros = whole(tookMicros, foretold);
    } else if (foretold != null) {
      if (slow(run, foretold, tookMicros)) {
        counts.setAside++;
        return true;
      }
      int side = judge(profile, foretold, tookMicros);
      if (siblings.seen == 0) {
        compare(run, side, tookMicros);
      } else if (Integer.bitCount(siblings.seen) == 1) {
        compareSiblings(run, tookMicros);
      }
    }
    if (tookMicros > 0) {
      learn(run, siblings, tookMicros);
    }
    return true;
  }

  /**
   * Whether the machine is so much slower than others that nothing is learned from what runs on it.
   */
  private boolean slow(TaskRun run, Foretold foretold, double tookMicros) {
    double off = Math.log(run.tookMicros() / foretold.median());
    types.add(run.type(), Math.max(-MOST_TYPE_SPEED, Math.min(MOST_TYPE_SPEED, off)));
    // What lies above the median may be the faulty machine's own runs; the other side is not.
    double unit = Math.min(foretold.unitBelow(), foretold.unitAbove());
    machines.add(
        run.machine(),
        Math.max(-MOST_LOSS, Math.min(MOST_LOSS, Math.log(tookMicros / foretold.median()) / unit)));
    return machines.beyondOthers(run.machine(), SLOW_RUNS) > SLOW_UNITS;
  }

  /** How many times as long as elsewhere tasks take on machines of the type. */
  private double speed(String type) {
    double beyond = types.beyondOthers(type, TYPE_RUNS);
    return Math.abs(beyond) < TYPE_SPEED ? 1 : Math.exp(beyond);
  }

  /**
   * A run that was stopped stands for one of those that take longer than it did, each time for
   * another of them, as in the estimator of Kaplan and Meier; 0 if it says nothing.
   */
  private double whole(double ranMicros, Foretold foretold) {
    counts.stopped++;
    if (foretold == null || foretold.mixture().below(ranMicros) < LEAST_SAID) {
      return 0;
    }
    double part = counts.stopped * GOLDEN;
    return foretold.mixture().quantileBeyond(ranMicros, part - Math.floor(part));
  }

  /**
   * Keeps how far off the estimate was, for the bounds of later ones; 1 if the run ended beyond the
   * upper bound, -1 if below the lower one, and 0 between.
   */
  private int judge(TaskProfile profile, Foretold foretold, double tookMicros) {
    int side =
        tookMicros > high(profile, foretold, JUDGED_SHARE)
            ? 1
            : tookMicros < low(profile, foretold, JUDGED_SHARE) ? -1 : 0;
    counts.judged++;
    counts.within += side == 0 ? 1 : 0;
    double score = foretold.score(tookMicros);
    for (Grade grade : grades(profile, foretold)) {
      scores.computeIfAbsent(grade, g -> new Scores()).add(score);
    }
    return side;
  }

  /**
   * Of a job's first task: whether the ratio or the time would have been better, and whether all
   * has changed.
   */
  private void compare(TaskRun run, int side, double tookMicros) {
    double ratioLoss = loss(run, Basis.RATIO, tookMicros);
    double timeLoss = loss(run, Basis.TIME, tookMicros);
    for (Level level : KINDS) {
      Evidence evidence = kinds.get(run.profile().kind(level));
      if (evidence != null) {
        evidence.judge(ratioLoss, timeLoss);
        if (way != Way.FOREVER) {
          boolean shifted = evidence.shifted(side, ratio(run, tookMicros), time(tookMicros));
          counts.shifts += shifted ? 1 : 0;
        }
      }
    }
  }

  /**
   * Of a job's further tasks: whether those that have ended foretold better than other jobs did.
   */
  private void compareSiblings(TaskRun run, double tookMicros) {
    Evidence evidence = kinds.get(run.profile().kind(Level.CLASS));
    if (evidence != null) {
      Basis basis = basis(run.profile(), run.guessMicros());
      evidence.judgeSiblings(
          loss(
                  foretold(parts(run.profile(), run.guessMicros(), basis, DOUBT_OF_SIBLINGS)),
                  tookMicros)
              - loss(
                  foretold(
                      parts(run.profile(), run.guessMicros(), basis, DOUBT_OF_STRANGE_SIBLINGS)),
                  tookMicros));
    }
  }

  private double loss(TaskRun run, Basis basis, double tookMicros) {
    return loss(foretold(run.profile(), run.guessMicros(), basis), tookMicros);
  }

  private static double loss(Foretold foretold, double tookMicros) {
    return foretold == null
        ? MOST_LOSS
        : Math.min(MOST_LOSS, Math.abs(Math.log(foretold.median() / tookMicros)));
  }

  private static long ratio(TaskRun run, double tookMicros) {
    return run.guessMicros() == 0
        ? 0
        : Math.max(
            ONE / MOST, Math.min(ONE * MOST, Math.round(ONE * tookMicros / run.guessMicros())));
  }

  private static long time(double tookMicros) {
    return Math.max(1, Math.round(tookMicros / MILLI));
  }

  /**
   * A job of many tasks says little more of other jobs than one of few: it counts with its first
   * task, and each time that it has ended twice as many.
   */
  private void learn(TaskRun run, Siblings siblings, double tookMicros) {
    siblings.times.add(time(tookMicros));
    siblings.seen++;
    if (Integer.bitCount(siblings.seen) == 1) {
      for (Level level : KINDS) {
        kinds
            .computeIfAbsent(run.profile().kind(level), kind -> new Evidence(way.window(level)))
            .add(ratio(run, tookMicros), time(tookMicros));
      }
    }
    counts.learned++;
  }

  private Basis basis(TaskProfile profile, long guessMicros) {
    if (guessMicros == 0) {
      return Basis.TIME;
    }
    for (Level level : List.of(Level.WORK, Level.CLASS)) {
      Evidence evidence = kinds.get(profile.kind(level));
      if (evidence != null && evidence.judged() >= JUDGED_ENOUGH) {
        return evidence.timeLoss < BETTER * evidence.ratioLoss ? Basis.TIME : Basis.RATIO;
      }
    }
    return Basis.RATIO;
  }

  /** What a level with so many runs takes of the weight that there is. */
  private double weight(int runs, double doubt) {
    return way == Way.NEAREST ? (runs >= JUDGED_ENOUGH ? 1 : 0) : runs / (runs + doubt);
  }

  private List<Part> parts(TaskProfile profile, long guessMicros, Basis basis) {
    Evidence evidence = kinds.get(profile.kind(Level.CLASS));
    return parts(
        profile,
        guessMicros,
        basis,
        evidence == null || evidence.siblingsWorse <= 0
            ? DOUBT_OF_SIBLINGS
            : DOUBT_OF_STRANGE_SIBLINGS);
  }

  private List<Part> parts(
      TaskProfile profile, long guessMicros, Basis basis, double doubtOfSiblings) {
    List<Part> parts = new ArrayList<>(6);
    double rest = 1;
    Siblings siblings = jobs.get(profile.job());
    if (siblings != null && siblings.seen > 0) {
      double weight = weight(siblings.times.count(), doubtOfSiblings);
      parts.add(new Part(Level.JOB, siblings.times, MILLI, weight));
      rest -= weight;
    }
    for (Level level : KINDS) {
      Evidence evidence = kinds.get(profile.kind(level));
      // The times of other classes say nothing of this one's, but how wrong their owners' guesses
      // are does.
      boolean byTime = basis == Basis.TIME && level != Level.ALL;
      if (evidence != null && (byTime || guessMicros > 0)) {
        Sketch sketch = byTime ? evidence.times : evidence.ratios;
        double weight = rest * weight(sketch.count(), DOUBT);
        parts.add(new Part(level, sketch, byTime ? MILLI : (double) guessMicros / ONE, weight));
        rest -= weight;
      }
    }
    if (guessMicros > 0) {
      parts.add(new Part(Level.NONE, null, guessMicros, rest));
    }
    parts.removeIf(part -> part.weight() <= 0);
    return parts;
  }

  private static Mixture mixture(List<Part> parts) {
    Mixture mixture = new Mixture();
    for (Part part : parts) {
      if (part.sketch() == null) {
        mixture.addPrior(part.scale(), part.weight());
      } else {
        mixture.add(part.sketch(), part.scale(), part.weight());
      }
    }
    return mixture;
  }

  /** Null if nothing is known. */
  private Foretold foretold(TaskProfile profile, long guessMicros, Basis basis) {
    return foretold(parts(profile, guessMicros, basis));
  }

  private static Foretold foretold(List<Part> parts) {
    if (parts.isEmpty()) {
      return null;
    }
    Mixture mixture = mixture(parts);
    double median = mixture.quantile(0.5);
    double below = Math.log(median / mixture.quantile((1 - JUDGED_SHARE) / 2));
    double above = Math.log(mixture.quantile((1 + JUDGED_SHARE) / 2) / median);
    Part most = parts.get(0);
    for (Part part : parts) {
      most = part.weight() > most.weight() ? part : most;
    }
    return new Foretold(
        mixture,
        median,
        Math.max(LEAST_UNIT, below),
        Math.max(LEAST_UNIT, above),
        most.level(),
        most.sketch() == null ? 0 : most.sketch().count());
  }

  private static List<Grade> grades(TaskProfile profile, Foretold foretold) {
    int evidence = Integer.SIZE - Integer.numberOfLeadingZeros(foretold.runs());
    return List.of(
        new Grade(profile.jobClass(), foretold.level(), evidence),
        new Grade("", foretold.level(), evidence));
  }

  /**
   * What estimates like this one have held: the class's own if there are enough. Null if nothing is
   * known.
   */
  private Scores scores(TaskProfile profile, Foretold foretold) {
    List<Grade> grades = grades(profile, foretold);
    Scores own = scores.get(grades.get(0));
    if (own != null && own.count() >= SCORES_ENOUGH) {
      return own;
    }
    Scores all = scores.get(grades.get(1));
    return all != null && all.count() >= LEAST_SCORES ? all : null;
  }

  private double high(TaskProfile profile, Foretold foretold, double share) {
    Scores known = scores(profile, foretold);
    double beyond = (1 - share) / 2;
    double bound =
        known == null
            ? foretold.mixture().quantile(1 - beyond)
            : foretold.median() * Math.exp(known.unitsAbove(beyond) * foretold.unitAbove());
    return Math.min(bound, MOST * foretold.median());
  }

  private double low(TaskProfile profile, Foretold foretold, double share) {
    Scores known = scores(profile, foretold);
    double beyond = (1 - share) / 2;
    double bound =
        known == null
            ? foretold.mixture().quantile(beyond)
            : foretold.median() * Math.exp(-known.unitsBelow(beyond) * foretold.unitBelow());
    return Math.max(bound, foretold.median() / MOST);
  }

  public Estimate estimate(EstimateQuery question) {
    TaskProfile profile = question.profile();
    Basis basis = basis(profile, question.guessMicros());
    Foretold foretold = foretold(profile, question.guessMicros(), basis);
    if (foretold == null) {
      return Estimate.UNKNOWN;
    }
    double speed = speed(question.type());
    double ran = question.ranMicros() / speed;
    double median = foretold.mixture().quantileBeyond(ran, 0.5);
    double low = low(profile, foretold, question.share());
    double high = high(profile, foretold, question.share());
    if (ran > 0) {
      // The bounds of what has run for some time are those of what takes longer.
      low = Math.max(ran, Math.min(low, median));
      high = Math.max(high, foretold.mixture().quantileBeyond(ran, (1 + question.share()) / 2));
    }
    return new Estimate(
        micros(median * speed),
        micros(low * speed),
        micros(high * speed),
        question.share(),
        foretold.runs(),
        foretold.level(),
        basis);
  }

  private static long micros(double micros) {
    return Math.max(1, Math.round(micros));
  }

  /**
   * Why the estimate is what it is: each level's runs, its share of the weight, and its median in
   * seconds.
   */
  public String explain(EstimateQuery question) {
    TaskProfile profile = question.profile();
    Basis basis = basis(profile, question.guessMicros());
    StringBuilder text = new StringBuilder("by " + basis.name().toLowerCase(Locale.ROOT));
    for (Part part : parts(profile, question.guessMicros(), basis)) {
      text.append(
          String.format(
              Locale.ROOT,
              "; %s: %d runs, weight %.2f, median %.3f s",
              part.level().name().toLowerCase(Locale.ROOT),
              part.sketch() == null ? 0 : part.sketch().count(),
              part.weight(),
              mixture(List.of(part)).quantile(0.5) / 1e6));
    }
    Foretold foretold = foretold(profile, question.guessMicros(), basis);
    Scores known = foretold == null ? null : scores(profile, foretold);
    text.append(
        known == null
            ? "; bounds as it is spread"
            : "; bounds as " + known.count() + " such estimates held");
    double speed = speed(question.type());
    if (speed != 1) {
      text.append(
          String.format(
              Locale.ROOT,
              "; machines of type %s take %.2f times as long",
              question.type(),
              speed));
    }
    return text.toString();
  }

  /** Takes in what another has learned, of other runs, up to this one's bounds. */
  public void merge(Estimator other) {
    other.kinds.forEach(
        (kind, evidence) ->
            kinds.computeIfAbsent(kind, k -> new Evidence(way.window(k.level()))).merge(evidence));
    machines.merge(other.machines);
    types.merge(other.types);
    other.scores.forEach(
        (grade, known) -> scores.computeIfAbsent(grade, g -> new Scores()).merge(known));
  }

  public Counts counts() {
    return counts;
  }

  /** How many kinds are known. */
  public int size() {
    return kinds.size();
  }

  /** The classes with the most runs, at most so many, by name. */
  public List<ClassSummary> classes(int most) {
    Map<String, ClassSummary> byName = new TreeMap<>();
    kinds.entrySet().stream()
        .filter(
            entry -> entry.getKey().level() == Level.CLASS && entry.getValue().ratios.count() > 0)
        .sorted((a, b) -> Integer.compare(b.getValue().ratios.count(), a.getValue().ratios.count()))
        .limit(most)
        .forEach(
            entry ->
                byName.put(entry.getKey().jobClass(), summary(entry.getKey(), entry.getValue())));
    return List.copyOf(byName.values());
  }

  private static ClassSummary summary(JobKind kind, Evidence evidence) {
    Mixture mixture = new Mixture();
    mixture.add(evidence.ratios, 1.0 / ONE, 1);
    return new ClassSummary(
        kind.jobClass(),
        evidence.ratios.count(),
        mixture.quantile((1 - JUDGED_SHARE) / 2),
        mixture.quantile(0.5),
        mixture.quantile((1 + JUDGED_SHARE) / 2),
        JUDGED_SHARE);
  }

  /** The kinds, the least recently used first. */
  Map<JobKind, Evidence> kinds() {
    return kinds;
  }

  /** What estimates have held, the least recently used first. */
  Map<Grade, Scores> scores() {
    return scores;
  }
}
