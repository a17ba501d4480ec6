package madderrudder.replay;

import static madderrudder.replay.Histories.SILENT;
import static madderrudder.replay.Histories.reader;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import madderrudder.replay.PredictionScore.ErrorTally;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Replays of histories; the scores are the figures of docs/estimates.md at a tenth of their size.
 */
class ReplayTest {
  @TempDir static Path folder;

  private static Replay generated;

  @BeforeAll
  static void replayGeneratedHistory() throws IOException {
    Path file = Histories.generated(folder, 7, 6_000, HistoryWriter.Format.JSONL);
    generated = ReplayRunner.replay(reader(file), false, false, SILENT);
  }

  @Test
  void classesOfLittleNoiseAreEstimatedWithinAQuarter() {
    Map<String, ErrorTally> learned = generated.scores().get("learned").byClass;
    int classesOfLittleNoise = 0;
    for (Map.Entry<String, ErrorTally> entry :
        generated.scores().get(Replay.ORACLE).byClass.entrySet()) {
      String name = entry.getKey();
      double ofOracle = entry.getValue().nearShare();
      if (ofOracle > 0.9 && !name.equals("drifting")) {
        classesOfLittleNoise++;
        double share = learned.get(name).nearShare();
        assertTrue(share > 0.8, name + " " + share + " of " + ofOracle);
      }
    }
    assertTrue(
        classesOfLittleNoise >= 4, "only " + classesOfLittleNoise + " classes have little noise");
  }

  @Test
  void learnedEstimatesAreNearMoreOftenThanTheOthers() {
    Map<String, PredictionScore> scores = generated.scores();
    double learned = scores.get("learned").all.nearShare();
    assertTrue(learned > 2 * scores.get("guess").all.nearShare());
    assertTrue(learned > 1.5 * scores.get("ratio").all.nearShare());
  }

  @Test
  void intervalsHaveTheCoverageThatTheyPromise() {
    for (int i = 0; i < Replay.COVERAGES.size(); i++) {
      assertEquals(
          Replay.COVERAGES.get(i),
          generated.observedCoverages()[i],
          0.06,
          "of intervals that promise it");
    }
  }

  private static Path oddHistory() throws IOException {
    return Files.writeString(
        folder.resolve("odd.jsonl"),
        """
        {"at_s":9,"job":"a","task":0,"class":"c","guess_s":60,"took_s":60,"end":"done"}
        {"at_s":3,"job":"b","task":0,"class":"c","guess_s":60,"took_s":0,"end":"done"}
        {"at_s":5,"job":"c","task":0,"class":"c","guess_s":60,"took_s":9e8,"end":"done"}
        {"at_s":7,"job":"d","task":0,"class":"c","guess_s":0,"took_s":60,"end":"part"}
        """);
  }

  @Test
  void runsThatAreNotPredictedAreCounted() throws IOException {
    Replay replay = ReplayRunner.replay(reader(oddHistory()), false, false, SILENT);
    assertEquals(1, replay.predictedRuns());
    assertEquals(2, replay.implausibleRuns());
    assertEquals(1, replay.stoppedRuns());
    assertEquals(1, replay.runsOutOfOrder());
  }

  @Test
  void runsAreInOrderWhenReplayedByTime() throws IOException {
    assertEquals(
        0, ReplayRunner.replay(reader(oddHistory()), true, false, SILENT).runsOutOfOrder());
  }
}
