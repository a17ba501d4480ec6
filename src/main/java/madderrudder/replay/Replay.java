package madderrudder.replay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.Estimate.Basis;
import madderrudder.estimates.Level;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.Ended;
import org.HdrHistogram.Histogram;

/**
 * Plays a history in its order: each way of foretelling is asked before a run, then told of it.
 * Runs that were stopped are told, but nothing is asked of them, since nobody knows how long they
 * would have taken.
 */
public final class Replay {
  /** The share of runs that the bounds promise to hold in the tables. */
  public static final double SHARE = 0.8;

  static final List<Double> SHARES = List.of(0.5, 0.6, 0.7, 0.8, 0.9, 0.95);
  static final int CHUNK = 1_000;
  static final String BEST = "best";

  private final List<Foretelling> ways;
  private final Map<String, Score> scores = new LinkedHashMap<>();

  /**
   * Of each class, how many runs lie within the bounds of the last way, for each of the shares that
   * they promise.
   */
  private final Map<String, long[]> held = new TreeMap<>();

  private final Histogram askingNanos = new Histogram(10_000_000_000L, 3);
  private final Histogram tellingNanos = new Histogram(10_000_000_000L, 3);
  private long asked;
  private long part;
  private long absurd;
  private long outOfOrder;
  private long lastAtMicros = Long.MIN_VALUE;

  /**
   * The last of the ways is the one that is timed, and whose bounds are compared for each share.
   */
  Replay(List<Foretelling> ways) {
    this.ways = new ArrayList<>(ways);
    ways.forEach(way -> scores.put(way.name(), new Score()));
  }

  void take(Ended ended, long bestMicros) throws IOException {
    TaskRun run = ended.run();
    outOfOrder += ended.atWallMicros() < lastAtMicros ? 1 : 0;
    lastAtMicros = ended.atWallMicros();
    if (!run.isPlausible()) {
      absurd++;
      return;
    }
    if (!run.complete()) {
      part++;
    } else {
      ask(run, bestMicros);
    }
    for (int i = 0; i < ways.size(); i++) {
      long from = System.nanoTime();
      ways.get(i).after(run);
      if (i == ways.size() - 1) {
        tellingNanos.recordValue(
            Math.min(tellingNanos.getHighestTrackableValue(), System.nanoTime() - from));
      }
    }
  }

  private void ask(TaskRun run, long bestMicros) {
    int chunk = (int) (asked++ / CHUNK);
    String jobClass = run.profile().jobClass();
    for (int i = 0; i < ways.size(); i++) {
      Foretelling way = ways.get(i);
      long from = System.nanoTime();
      Estimate estimate = way.before(run, SHARE);
      if (i == ways.size() - 1) {
        askingNanos.recordValue(
            Math.min(askingNanos.getHighestTrackableValue(), System.nanoTime() - from));
        long[] counts = held.computeIfAbsent(jobClass, name -> new long[SHARES.size()]);
        for (int j = 0; j < SHARES.size(); j++) {
          Estimate other = way.before(run, SHARES.get(j));
          boolean inside =
              run.durationMicros() >= other.lowMicros()
                  && run.durationMicros() <= other.highMicros();
          counts[j] += inside ? 1 : 0;
        }
      }
      scores.get(way.name()).add(jobClass, chunk, estimate, run.durationMicros());
    }
    if (bestMicros > 0) {
      scores
          .computeIfAbsent(BEST, name -> new Score())
          .add(
              jobClass,
              chunk,
              new Estimate(bestMicros, bestMicros, bestMicros, 0, 0, Level.NONE, Basis.RATIO),
              run.durationMicros());
    }
  }

  Map<String, Score> scores() {
    return scores;
  }

  boolean hasBounds(String way) {
    return ways.stream().anyMatch(one -> one.name().equals(way) && one.hasBounds());
  }

  /**
   * Of each class, how many runs lay within the bounds, for each of the shares that they promise.
   */
  Map<String, long[]> held() {
    return held;
  }

  /** The share of all runs that lay within the bounds, for each of the shares that they promise. */
  double[] heldShares() {
    double[] all = new double[SHARES.size()];
    for (long[] counts : held.values()) {
      for (int i = 0; i < all.length; i++) {
        all[i] += (double) counts[i] / asked;
      }
    }
    return all;
  }

  long asked() {
    return asked;
  }

  long part() {
    return part;
  }

  long absurd() {
    return absurd;
  }

  long outOfOrder() {
    return outOfOrder;
  }

  Histogram askingNanos() {
    return askingNanos;
  }

  Histogram tellingNanos() {
    return tellingNanos;
  }
}
