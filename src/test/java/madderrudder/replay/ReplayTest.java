package madderrudder.replay;

import static madderrudder.replay.Histories.SILENT;
import static madderrudder.replay.Histories.strictReader;
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
 * Guards against a loss of accuracy of the learned estimates, and against runs that a replay
 * miscounts. The generated history is a tenth of the size of the one behind the results in
 * docs/estimates.md.
 */
class ReplayTest {
  @TempDir static Path folder;

  private static Replay generatedReplay;

  @BeforeAll
  static void replayGeneratedHistory() throws IOException {
    Path file = Histories.writeGenerated(folder, 7, 6_000, HistoryWriter.Format.JSONL);
    generatedReplay = ReplayRunner.replay(strictReader(file), false, false, SILENT);
  }

  @Test
  void learnedEstimatesOfLowNoiseClassesAreNear() {
    Map<String, ErrorTally> learned = generatedReplay.scores().get("learned").byClass;
    int lowNoiseClasses = 0;
    for (Map.Entry<String, ErrorTally> entry :
        generatedReplay.scores().get(Replay.ORACLE_NAME).byClass.entrySet()) {
      String name = entry.getKey();
      double oracleShare = entry.getValue().nearShare();
      if (oracleShare > 0.9 && !name.equals("drifting")) {
        lowNoiseClasses++;
        double learnedShare = learned.get(name).nearShare();
        assertTrue(
            learnedShare > 0.8, name + ": learned " + learnedShare + ", oracle " + oracleShare);
      }
    }
    assertTrue(lowNoiseClasses >= 4, "only " + lowNoiseClasses + " low-noise classes");
  }

  @Test
  void learnedEstimatesAreNearMoreOftenThanOtherMethods() {
    Map<String, PredictionScore> scores = generatedReplay.scores();
    double learned = scores.get("learned").overall.nearShare();
    assertTrue(learned > 2 * scores.get("guess").overall.nearShare());
    assertTrue(learned > 1.5 * scores.get("ratio").overall.nearShare());
  }

  @Test
  void observedCoverageMatchesNominalCoverage() {
    for (int i = 0; i < Replay.CHECKED_COVERAGES.size(); i++) {
      assertEquals(
          Replay.CHECKED_COVERAGES.get(i),
          generatedReplay.observedCoverages()[i],
          0.06,
          "observed coverage");
    }
  }

  private static Path irregularHistory() throws IOException {
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
  void countsRunsThatAreNotPredicted() throws IOException {
    Replay replay = ReplayRunner.replay(strictReader(irregularHistory()), false, false, SILENT);
    assertEquals(1, replay.predictedRuns());
    assertEquals(2, replay.implausibleRuns());
    assertEquals(1, replay.stoppedRuns());
    assertEquals(1, replay.runsOutOfOrder());
  }

  @Test
  void replayByTimeOrdersTheRuns() throws IOException {
    assertEquals(
        0,
        ReplayRunner.replay(strictReader(irregularHistory()), true, false, SILENT)
            .runsOutOfOrder());
  }
}
