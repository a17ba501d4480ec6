package madderrudder.tools;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against commands that give no estimate for a known class, or print a stack trace when they
 * are used wrongly. The commands run inside the test process.
 */
class ToolsTest {
  private static final String HISTORY_LINE =
      """
      {"job":"j%d","task":0,"attempt":1,"class":"c","guess_s":60,"took_s":90,"end":"done"}
      """;

  @TempDir Path folder;

  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... arguments) {
    return Tools.commandLine()
        .setOut(new PrintWriter(out))
        .setErr(new PrintWriter(err))
        .execute(arguments);
  }

  private Path writeHistory() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      lines.append(HISTORY_LINE.formatted(i));
    }
    return Files.writeString(folder.resolve("plain.jsonl"), lines.toString());
  }

  @Test
  void estimatesTheRunTimeOfADescribedTask() throws IOException {
    String history = writeHistory().toString();
    int status =
        run("estimate", "--history", history, "--class", "c", "--cpus", "0", "--guess", "60");
    assertEquals(0, status, err.toString());
    assertTrue(
        out.toString()
            .matches(
                "(?s)(8[7-9]|9[0-3])\\.\\d+ s, in 80 of 100 cases .*\\(sure, from \\d+ runs of the same class, team, image and size\\)\nby ratio; work: .*"),
        out.toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "estimate",
        "estimate --class c",
        "estimate --history none.jsonl --class c",
        "history",
        "history generate --runs 0",
        "estimate --history x --class c --share 1.5",
        "tomorrow",
        ""
      })
  void reportsUsageErrorsWithoutAStackTrace(String line) {
    int status = run(line.isEmpty() ? new String[0] : line.split(" ", -1));
    assertEquals(2, status);
    assertTrue(!err.toString().isBlank() && !err.toString().contains("\tat "), err.toString());
  }
}
