package madderrudder.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.metrics.RunHistory.Ended;

/** Plays histories from files. */
public final class Replays {
  /** On ordinary machines: more than any site has, yet bounded. */
  private static final int MOST_KINDS = 20_000;

  private Replays() {}

  private record Line(Ended ended, long bestMicros) {}

  /**
   * Replays the file. {@code byTime} plays it in the order of its times, which takes memory for all
   * of it; {@code allWays} adds the ways to learn that are not in use.
   */
  public static Replay replay(
      HistoryReader reader, boolean byTime, boolean allWays, Progress progress) throws IOException {
    List<Foretelling> ways = new ArrayList<>(List.of(Foretelling.guess(), Foretelling.ratio()));
    if (allWays) {
      ways.add(Foretelling.learned(LearningMethod.NEAREST_LEVEL, MOST_KINDS));
      ways.add(Foretelling.learned(LearningMethod.HIERARCHICAL_UNBOUNDED, MOST_KINDS));
    }
    ways.add(Foretelling.learned(LearningMethod.HIERARCHICAL, MOST_KINDS));
    Replay replay = new Replay(ways);
    List<Line> kept = new ArrayList<>();
    reader.read(
        (ended, bestMicros) -> {
          progress.step();
          if (byTime) {
            kept.add(new Line(ended, bestMicros));
          } else {
            replay.take(ended, bestMicros);
          }
        });
    kept.sort(Comparator.comparingLong(line -> line.ended().atWallMicros()));
    for (Line line : kept) {
      replay.take(line.ended(), line.bestMicros());
    }
    return replay;
  }

  /** What there is to be learned from each of the files, together. */
  public static Estimator learn(
      List<Path> files, boolean strict, HistoryReader.Problems problems, Progress progress)
      throws IOException {
    Estimator all = new Estimator(MOST_KINDS, MOST_KINDS);
    for (Path file : files) {
      Estimator one = new Estimator(MOST_KINDS, MOST_KINDS);
      new HistoryReader(file, strict, problems)
          .read(
              (ended, bestMicros) -> {
                progress.step();
                one.observe(ended.run());
              });
      all.merge(one);
    }
    return all;
  }
}
