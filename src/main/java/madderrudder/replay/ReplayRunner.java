package madderrudder.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.metrics.RunHistory.EndedRun;

/** Feeds histories from files to replays and estimators. */
public final class ReplayRunner {
  /** For the profiles and jobs of an estimator: more than any site has, yet bounded. */
  private static final int MAX_ENTRIES = 20_000;

  private ReplayRunner() {}

  private record BufferedRun(EndedRun ended, long oracleMicros) {}

  /**
   * Replays a file.
   *
   * @param byTime replays in the order of the times at which runs ended, not of the lines; this
   *     takes memory for the whole file
   * @param allMethods compares the learning methods that are not in use too
   * @throws IOException if the file can't be read
   */
  public static Replay replay(
      HistoryReader reader, boolean byTime, boolean allMethods, ProgressPrinter progress)
      throws IOException {
    Replay replay = new Replay(predictors(allMethods));
    List<BufferedRun> buffered = new ArrayList<>();
    reader.read(
        (ended, oracleMicros) -> {
          progress.step();
          if (byTime) {
            buffered.add(new BufferedRun(ended, oracleMicros));
          } else {
            replay.accept(ended, oracleMicros);
          }
        });
    buffered.sort(Comparator.comparingLong(run -> run.ended().atWallMicros()));
    for (BufferedRun run : buffered) {
      replay.accept(run.ended(), run.oracleMicros());
    }
    return replay;
  }

  private static List<RunTimePredictor> predictors(boolean allMethods) {
    List<RunTimePredictor> predictors = new ArrayList<>();
    predictors.add(new RunTimePredictor.OwnerEstimate());
    predictors.add(new RunTimePredictor.ClassRatio());
    if (allMethods) {
      predictors.add(learned(LearningMethod.NEAREST_LEVEL));
      predictors.add(learned(LearningMethod.HIERARCHICAL_UNBOUNDED));
    }
    predictors.add(learned(LearningMethod.HIERARCHICAL));
    return predictors;
  }

  private static RunTimePredictor learned(LearningMethod method) {
    return new RunTimePredictor.Learned(method, MAX_ENTRIES);
  }

  /**
   * An estimator that has learned from all files, each of them read by itself and then merged.
   *
   * @param strict fails at a malformed line, in place of leaving it out
   * @throws IOException if a file can't be read
   */
  public static Estimator learn(
      List<Path> files,
      boolean strict,
      HistoryReader.MalformedLineListener listener,
      ProgressPrinter progress)
      throws IOException {
    Estimator merged = new Estimator(MAX_ENTRIES, MAX_ENTRIES);
    for (Path file : files) {
      Estimator ofFile = new Estimator(MAX_ENTRIES, MAX_ENTRIES);
      new HistoryReader(file, strict, listener)
          .read(
              (ended, oracleMicros) -> {
                progress.step();
                ofFile.observe(ended.run());
              });
      merged.merge(ofFile);
    }
    return merged;
  }
}
