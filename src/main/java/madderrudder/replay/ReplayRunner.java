package madderrudder.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.LearningMethod;
import madderrudder.metrics.RunHistory.EndedRun;

/** Runs replays of history files, and trains estimators with them. */
public final class ReplayRunner {
  /**
   * Limits the profiles, and the jobs, that an estimator remembers. It exceeds the number at any
   * site, and bounds the memory.
   */
  private static final int MAX_ESTIMATOR_ENTRIES = 20_000;

  private ReplayRunner() {}

  private record BufferedRun(EndedRun ended, long oracleMicros) {}

  /**
   * Replays a file and returns the finished replay.
   *
   * @param reader the reader of the file
   * @param byTime whether to replay the runs in the order of their ends and not of the lines, which
   *     buffers the whole file in memory
   * @param allMethods whether to score the learning methods that the controllers do not use as well
   * @param progress counts the runs read
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
      predictors.add(learnedPredictor(LearningMethod.MOST_SPECIFIC_LEVEL));
      predictors.add(learnedPredictor(LearningMethod.HIERARCHICAL_ALL_RUNS));
    }
    predictors.add(learnedPredictor(LearningMethod.HIERARCHICAL));
    return predictors;
  }

  private static RunTimePredictor learnedPredictor(LearningMethod method) {
    return new RunTimePredictor.Learned(method, MAX_ESTIMATOR_ENTRIES);
  }

  /**
   * Returns an estimator that has observed the runs of all files. Each file trains an estimator of
   * its own, and these are merged in the order of the files.
   *
   * @param files the history files
   * @param strict whether a malformed line is an error; otherwise it is skipped
   * @param listener receives the malformed lines that are skipped
   * @param progress counts the runs read
   * @throws IOException if a file can't be read
   */
  public static Estimator learn(
      List<Path> files,
      boolean strict,
      HistoryReader.MalformedLineListener listener,
      ProgressPrinter progress)
      throws IOException {
    Estimator merged = new Estimator(MAX_ESTIMATOR_ENTRIES, MAX_ESTIMATOR_ENTRIES);
    for (Path file : files) {
      Estimator fileEstimator = new Estimator(MAX_ESTIMATOR_ENTRIES, MAX_ESTIMATOR_ENTRIES);
      new HistoryReader(file, strict, listener)
          .read(
              (ended, oracleMicros) -> {
                progress.step();
                fileEstimator.observe(ended.run());
              });
      merged.merge(fileEstimator);
    }
    return merged;
  }
}
