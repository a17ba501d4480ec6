package madderrudder.replay;

import static madderrudder.replay.Histories.readAll;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.protocol.Resources;
import madderrudder.replay.HistoryReader.MalformedLineException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against runs that change, vanish or are counted twice between writing and reading a
 * history file: names with separators, malformed lines, and duplicates from overlapping exports.
 */
class HistoryFilesTest {
  @TempDir Path folder;

  private List<EndedRun> readGenerated(long seed, HistoryWriter.Format format) throws IOException {
    return readAll(Histories.writeGenerated(folder, seed, 500, format));
  }

  @Test
  void sameSeedGeneratesTheSameHistoryInBothFormats() throws IOException {
    List<EndedRun> jsonRuns = readGenerated(3, HistoryWriter.Format.JSONL);
    assertEquals(500, jsonRuns.size());
    assertEquals(jsonRuns, readGenerated(3, HistoryWriter.Format.CSV));
  }

  @Test
  void differentSeedsGenerateDifferentHistories() throws IOException {
    assertNotEquals(
        readGenerated(3, HistoryWriter.Format.JSONL), readGenerated(4, HistoryWriter.Format.JSONL));
  }

  @ParameterizedTest
  @EnumSource(HistoryWriter.Format.class)
  void readsNamesWithCommasQuotesAndLineBreaksAsWritten(HistoryWriter.Format format)
      throws IOException {
    TaskProfile profile =
        new TaskProfile(
            "a,b", "say \"x\"", "team\nof two", "7", Resources.ofThousandths(1_500, 250, 1));
    EndedRun ended =
        new EndedRun(
            1_790_000_000_123_456L, new TaskRun(profile, 2, 9, "", "m;1", 0, 1_250_000, false));
    StringWriter out = new StringWriter();
    new HistoryWriter(out, format, false).write(ended, 0);
    Path file =
        Files.writeString(folder.resolve("odd" + Histories.fileSuffix(format)), out.toString());
    assertEquals(List.of(ended), readAll(file));
  }

  private static final String VALID_LINE =
      """
      {"job":"j%d","task":0,"attempt":1,"class":"c","guess_s":60,"took_s":%s,"end":"done"}
      """;

  private static List<String> malformedLines() {
    return List.of(
        "{",
        "[]",
        "{\"job\":\"x\"}",
        "{\"job\":\"x\",\"task\":0,\"class\":\"c\",\"took_s\":-1,\"end\":\"done\"}",
        "{\"job\":\"x\",\"task\":0,\"class\":\"c\",\"took_s\":1,\"end\":\"perhaps\"}",
        "{\"job\":\"x\",\"task\":1.5,\"class\":\"c\",\"took_s\":1,\"end\":\"done\"}");
  }

  /** Line 2 is empty, line 3 is malformed, and line 5 repeats line 1. */
  private Path historyWith(String malformedLine) throws IOException {
    return Files.writeString(
        folder.resolve("bad.jsonl"),
        VALID_LINE.formatted(1, "60")
            + "\n"
            + malformedLine
            + "\n"
            + VALID_LINE.formatted(2, "61")
            + VALID_LINE.formatted(1, "60"));
  }

  @ParameterizedTest
  @MethodSource("malformedLines")
  void reportsAndSkipsMalformedLines(String line) throws IOException {
    List<String> reported = new ArrayList<>();
    List<EndedRun> runs = new ArrayList<>();
    HistoryReader reader =
        new HistoryReader(
            historyWith(line),
            false,
            (file, number, problem) -> reported.add(number + ": " + problem));
    reader.read((ended, oracleMicros) -> runs.add(ended));
    assertEquals(2, runs.size());
    assertEquals(1, reported.size());
    assertTrue(reported.get(0).startsWith("3: "), reported.get(0));
    assertEquals(1, reader.malformedLines());
    assertEquals(1, reader.duplicateRuns());
  }

  @ParameterizedTest
  @MethodSource("malformedLines")
  void strictReaderFailsAtAMalformedLine(String line) throws IOException {
    HistoryReader strict = Histories.strictReader(historyWith(line));
    IOException failure =
        assertThrows(MalformedLineException.class, () -> strict.read((ended, oracleMicros) -> {}));
    assertTrue(failure.getMessage().contains("bad.jsonl, line 3: "), failure.getMessage());
  }

  @Test
  void reportsMalformedRowsOfCsv() throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("bad.csv"),
            "job,task,class,took_s,end\nj1,0,c,60,done\nj2,0,c,60\nj3,0,c,many,done\n");
    List<String> reported = new ArrayList<>();
    new HistoryReader(file, false, (path, number, problem) -> reported.add(number + ": " + problem))
        .read((ended, oracleMicros) -> {});
    assertEquals(
        List.of("3: 4 columns, but 5 headings", "4: field took_s is missing or invalid"), reported);
  }
}
