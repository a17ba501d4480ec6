package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.tools.ToolProvider;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a regression check that passes a version that serves users worse, or that fails a
 * version whose scores only vary between runs. Runs {@code bench/Regress.java} against given
 * journal entries, or against a fake bench script that writes them, and checks the exit status and
 * the output.
 */
@Timeout(60)
class RegressIT {
  private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");
  private static final Path JAR = Path.of("target", "madderrudder.jar").toAbsolutePath();
  private static final String FIGURES =
      """
            {"sites":[{"name":"site-a","file":"next/a.toml","usual":true,"large":true,"quick":[{"score":0.7,"entry":"old1"}]},
             {"name":"site-b","file":"b.toml","usual":false},
             {"name":"site-c","file":"hunt/c.toml","usual":false,"hunted":true}]}""";

  @TempDir static Path classDirectory;

  @TempDir Path directory;

  /** The exit status of a command and its output, both streams together. */
  private record Result(int status, String output) {}

  /** Compiles the program once; the launcher of source files would compile it in each run. */
  @BeforeAll
  static void compileRegress() {
    assertEquals(
        0,
        ToolProvider.getSystemJavaCompiler()
            .run(
                null,
                null,
                null,
                "-cp",
                JAR.toString(),
                "-d",
                classDirectory.toString(),
                Path.of("bench", "Regress.java").toString()));
  }

  @BeforeEach
  void createDirectories() throws IOException {
    Files.createDirectories(directory.resolve("journal"));
    Files.createDirectories(directory.resolve("bench"));
    Files.writeString(directory.resolve("bench/figures.json"), FIGURES);
  }

  private Result runRegress(String... arguments) throws IOException, InterruptedException {
    Path output = directory.resolve("output");
    List<String> command =
        new ArrayList<>(
            List.of(JAVA.toString(), "-cp", JAR + File.pathSeparator + classDirectory, "Regress"));
    command.addAll(List.of(arguments));
    Process process =
        new ProcessBuilder(command)
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
    return new Result(process.exitValue(), Files.readString(output));
  }

  /** Returns a journal entry in the form that the bench writes. */
  private static String entry(String id, boolean ok, String score, String rules, String fault) {
    return entry(id, ok, score, rules, fault, "[[\"batch\",1.0,0.9]]");
  }

  private static String entry(
      String id, boolean ok, String score, String rules, String fault, String served) {
    return """
                {"id":"%s","cmd":"score","argv":["a.toml","--quick"],"ok":%b,"error":%s,"site":"site-a","score":%s,
                 "days":[{"name":"rough","G":0.7,"score":0.7,"servers":1042,"rules":%s,"fault":%s,"restarts":2.0,
                          "served":%s}]}"""
        .formatted(
            id, ok, ok ? "null" : "\"the run ended early\\nmore\"", score, rules, fault, served);
  }

  private void writeJournalEntry(String id, String text) throws IOException {
    Files.writeString(directory.resolve("journal/20261201T000000-" + id + ".json"), text);
  }

  /**
   * Creates a kit whose bench script records its arguments, writes the entry, or no entry if that
   * is empty, and exits with the status.
   */
  private Path createKit(String entry, int status) throws IOException {
    Path bench = directory.resolve("kit/more/hunt/bin/fleetbench");
    Files.createDirectories(bench.getParent());
    Files.writeString(directory.resolve("entry"), entry);
    Files.writeString(
        bench,
        "#!/bin/sh\necho \"$@\" >> asked\n[ -s entry ] && [ $1 = score ] && "
            + "cp entry journal/20261201T000001-new1.json\nexit "
            + status
            + "\n");
    assertTrue(bench.toFile().setExecutable(true));
    return directory.resolve("kit");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      nullValues = "-",
      value = {
        "0|true|0.671|{}|null|-0.029", "3|true|0.669|{}|null|more rounds",
            "1|true|0.7|{\"ran_twice\":4}|null|ran_twice",
        "1|true|0.7|{}|\"too slow\"|too slow", "1|false|null|{}|null|the run ended early",
            "0|true|0.9|{}|null|2 ended"
      })
  void exitStatusFollowsJournalEntry(
      int status, boolean ok, String score, String rules, String fault, String expectedOutput)
      throws Exception {
    writeJournalEntry("abcd", entry("abcd", ok, score, rules, fault));
    Result result = runRegress("compare", "abcd");
    assertEquals(status, result.status(), result.output());
    assertTrue(result.output().contains(expectedOutput), result.output());
  }

  /**
   * A single run is too noisy for a comparison: unchanged sources once scored 0.05 less than
   * before, and 0.66 to 0.73 in repeated runs.
   */
  @ParameterizedTest
  @CsvSource({"0,0.68 0.60 0.70", "3,0.60 0.66 0.71", "1,0.60 0.66 0.65", "0,0.90 0.60"})
  void medianOfRoundsDecidesExitStatus(int status, String scores) throws Exception {
    List<String> arguments = new ArrayList<>(List.of("compare"));
    for (String score : scores.split(" ", -1)) {
      String id = "r" + arguments.size();
      writeJournalEntry(id, entry(id, true, score, "{}", "null"));
      arguments.add(id);
    }
    Result result = runRegress(arguments.toArray(String[]::new));
    assertEquals(status, result.status(), result.output());
  }

  /**
   * A day fails if less than half of the work of a class or team is served, whatever its score. A
   * class or team that requested nothing is ignored.
   */
  @ParameterizedTest
  @CsvSource({"1,web,0.3,0.49", "1,team alto,1.0,0.0", "0,web,0.3,0.5", "0,team alto,0.0,0.0"})
  void dayFailsIfLessThanHalfOfAClassOrTeamIsServed(
      int status, String classOrTeam, double shareOfWork, double servedShare) throws Exception {
    String served =
        "[[\"batch\",0.7,1.0],[\"%s\",%s,%s]]".formatted(classOrTeam, shareOfWork, servedShare);
    writeJournalEntry("half", entry("half", true, "0.9", "{}", "null", served));
    Result result = runRegress("compare", "half");
    assertEquals(status, result.status(), result.output());
  }

  /**
   * For custom scenarios, the journal does not show how teams were served; only the report does.
   */
  @ParameterizedTest
  @CsvSource({"0,51,80,0.9", "1,49,80,0.9", "1,51,44,0.9", "1,51,80,0.4"})
  void customScenariosOnLargeSitesAreJudgedByReports(
      int status, int startedOfTeam, int done, String replicaTimeShare) throws Exception {
    String report =
        """
                {"classes":{"batch":{"jobs":100,"cancelled":10,"started":90,"done":%d},
                 "web":{"jobs":9,"cancelled":9,"started":9,"done":0,"up":%s}},"teams":{"alto":{"jobs":100,"started":%d}}}"""
            .formatted(done, replicaTimeShare, startedOfTeam);
    Files.writeString(directory.resolve("report.json"), report);
    Path kit = createKit(entry("new1", true, "0.71", "{}", "null"), 0);
    Path bench = kit.resolve("more/hunt/bin/fleetbench");
    Files.writeString(
        bench, "#!/bin/sh\ncp entry journal/20261201T000001-new1.json\ncp report.json $5\n");
    Result result = runRegress("days", "own.toml", "--kit", kit.toString());
    assertEquals(status, result.status(), result.output());
    assertTrue(
        result.output().contains(status == 0 ? "0.51 of team alto; none" : "less than half"),
        result.output());
  }

  @Test
  void runsUsualSitesAndHunts() throws Exception {
    writeJournalEntry("old2", entry("old2", true, "0.1", "{}", "null"));
    Path kit = createKit(entry("new1", true, "0.71", "{}", "null"), 0);
    Result result = runRegress("--hunt", "3", "--kit", kit.toString(), "--why", "to see");
    assertEquals(0, result.status(), result.output());
    assertTrue(result.output().contains("+0.010"), result.output());
    String site = kit.resolve("next/a.toml").toString();
    assertEquals(
        List.of(
            "score " + site + " --quick --why to see",
            "hunt " + site + " --days 3 --why to see",
            "hunt " + kit.resolve("hunt/c.toml") + " --days 3 --why to see"),
        Files.readAllLines(directory.resolve("asked")));
  }

  /** The run also fails if the bench writes an entry but exits with a failure. */
  @Test
  void runWithoutJournalEntryFails() throws Exception {
    Result silent = runRegress("--kit", createKit("", 0).toString());
    assertEquals(1, silent.status(), silent.output());
    assertTrue(silent.output().contains("No score of site-a"), silent.output());
    assertEquals(
        1,
        runRegress("--kit", createKit(entry("new1", true, "0.71", "{}", "null"), 3).toString())
            .status());
  }

  /**
   * The bench rebuilds the service. A rebuild once removed the jar that the running command loaded
   * its classes from.
   */
  @Test
  void survivesRebuildOfService() throws Exception {
    Files.createDirectories(directory.resolve("target"));
    Files.copy(JAR, directory.resolve("target/madderrudder.jar"));
    for (String file : List.of("regress", "Regress.java")) {
      Files.copy(Path.of("bench", file), directory.resolve("bench").resolve(file));
    }
    Path kit = createKit(entry("new1", true, "0.71", "{}", "null"), 0);
    Path bench = kit.resolve("more/hunt/bin/fleetbench");
    Files.writeString(
        bench,
        Files.readString(bench).replace("#!/bin/sh\n", "#!/bin/sh\n: > target/madderrudder.jar\n"));
    Path output = directory.resolve("output");
    Process process =
        new ProcessBuilder("sh", "bench/regress", "--kit", "kit")
            .directory(directory.toFile())
            .redirectErrorStream(true)
            .redirectOutput(output.toFile())
            .start();
    assertTrue(process.waitFor(50, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue(), Files.readString(output));
    assertTrue(Files.readString(output).contains("+0.010"), Files.readString(output));
  }

  @Test
  void reportsMissingKitAndInvalidArguments() throws Exception {
    Result result = runRegress("--quick");
    assertEquals(2, result.status());
    assertTrue(result.output().contains("no bench at ../given/kit"), result.output());
    assertEquals(2, runRegress("--quick", "--full").status());
    assertEquals(2, runRegress("compare", "none").status());
  }

  @Test
  void recordsOnlyScoresOfPassingRuns() throws Exception {
    writeJournalEntry("bad1", entry("bad1", true, "0.7", "{\"quota\":1}", "null"));
    writeJournalEntry("good", entry("good", true, "0.75", "{}", "null"));
    assertEquals(2, runRegress("record", "bad1").status());
    assertEquals(FIGURES, Files.readString(directory.resolve("bench/figures.json")));
    Result result = runRegress("record", "good");
    assertEquals(0, result.status(), result.output());
    assertTrue(result.output().contains("site-a, quick: 0.750 of good"), result.output());
    Result later = runRegress("compare", "good");
    assertTrue(later.output().contains("+0.000"), later.output());
  }
}
