package madderrudder.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import javax.xml.parsers.DocumentBuilderFactory;
import madderrudder.estimates.TaskProfile;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory;
import madderrudder.metrics.RunHistory.Ended;
import madderrudder.protocol.Json;
import madderrudder.protocol.Resources;
import madderrudder.replay.PredictionScore.ErrorTally;
import madderrudder.tools.ToolsRunner;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories from drawing to report, and the commands of operators. */
class ReplayTest {
  private static final ProgressPrinter SILENT =
      new ProgressPrinter(new PrintStream(new ByteArrayOutputStream()), "");

  @TempDir Path folder;

  private Path drawn(long seed, long runs, HistoryWriter.Format format) throws IOException {
    Path file =
        folder.resolve(
            "history-" + seed + (format == HistoryWriter.Format.CSV ? ".csv" : ".jsonl"));
    StringWriter out = new StringWriter();
    HistoryWriter writer = new HistoryWriter(out, format, true);
    new HistoryGenerator(seed, runs).generate(writer::write);
    return Files.writeString(file, out.toString());
  }

  private static HistoryReader reader(Path file) {
    return new HistoryReader(file, true, (where, line, why) -> {});
  }

  private static List<Ended> read(Path file) throws IOException {
    List<Ended> all = new ArrayList<>();
    reader(file).read((ended, best) -> all.add(ended));
    return all;
  }

  /** The figures of docs/estimates.md at a tenth of their size. */
  @Test
  void whatNoiseAllowsIsForetold() throws IOException {
    Replay replay =
        ReplayRunner.replay(
            reader(drawn(7, 6_000, HistoryWriter.Format.JSONL)), false, false, SILENT);
    PredictionScore learned = replay.scores().get("learned");
    PredictionScore best = replay.scores().get(Replay.ORACLE);
    int allowed = 0;
    for (String name : best.byClass.keySet()) {
      ErrorTally here = learned.byClass.get(name);
      ErrorTally there = best.byClass.get(name);
      if (there.nearShare() > 0.9 && !name.equals("drifting")) {
        allowed++;
        assertTrue(
            here.nearShare() > 0.8, name + " " + here.nearShare() + " of " + there.nearShare());
      }
    }
    assertTrue(allowed >= 4, "only " + allowed + " classes have so little noise");
    assertTrue(learned.all.nearShare() > 2 * replay.scores().get("guess").all.nearShare());
    assertTrue(learned.all.nearShare() > 1.5 * replay.scores().get("ratio").all.nearShare());
    for (int i = 0; i < Replay.COVERAGES.size(); i++) {
      assertEquals(
          Replay.COVERAGES.get(i),
          replay.observedCoverages()[i],
          0.06,
          "of bounds that promise it");
    }
  }

  @Test
  void theSameSeedDrawsTheSame() throws IOException {
    List<Ended> one = read(drawn(3, 500, HistoryWriter.Format.JSONL));
    List<Ended> again = read(drawn(3, 500, HistoryWriter.Format.CSV));
    assertEquals(500, one.size());
    assertEquals(one, again);
    assertTrue(!one.equals(read(drawn(4, 500, HistoryWriter.Format.JSONL))));
  }

  /** Names with commas, quotes and line ends come through a table. */
  @ParameterizedTest
  @EnumSource(HistoryWriter.Format.class)
  void anyNamesComeThrough(HistoryWriter.Format format) throws IOException {
    TaskProfile profile =
        new TaskProfile("a,b", "say \"x\"", "team\nof two", "7", new Resources(1_500, 250, 1));
    Ended ended =
        new Ended(
            1_790_000_000_123_456L, new TaskRun(profile, 2, 9, "", "m;1", 0, 1_250_000, false));
    StringWriter out = new StringWriter();
    new HistoryWriter(out, format, false).write(ended, 0);
    Path file = folder.resolve(format == HistoryWriter.Format.CSV ? "odd.csv" : "odd.jsonl");
    Files.writeString(file, out.toString());
    assertEquals(List.of(ended), read(file));
  }

  private static final String GOOD =
      """
            {"job":"j%d","task":0,"attempt":1,"class":"c","guess_s":60,"took_s":%s,"end":"done"}
            """;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{",
        "[]",
        "{\"job\":\"x\"}",
        "{\"job\":\"x\",\"task\":0,\"class\":\"c\",\"took_s\":-1,\"end\":\"done\"}",
        "{\"job\":\"x\",\"task\":0,\"class\":\"c\",\"took_s\":1,\"end\":\"perhaps\"}",
        "{\"job\":\"x\",\"task\":1.5,\"class\":\"c\",\"took_s\":1,\"end\":\"done\"}"
      })
  void malformedLinesAreNamed(String line) throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("bad.jsonl"),
            GOOD.formatted(1, "60")
                + "\n"
                + line
                + "\n"
                + GOOD.formatted(2, "61")
                + GOOD.formatted(1, "60"));
    List<String> told = new ArrayList<>();
    List<Ended> runs = new ArrayList<>();
    HistoryReader lenient =
        new HistoryReader(file, false, (where, number, why) -> told.add(number + ": " + why));
    lenient.read((ended, best) -> runs.add(ended));
    assertEquals(2, runs.size());
    assertEquals(1, lenient.repeated());
    assertEquals(1, told.size());
    assertTrue(told.get(0).startsWith("3: "), told.get(0));
    IOException ends =
        assertThrows(IOException.class, () -> reader(file).read((ended, best) -> {}));
    assertTrue(ends.getMessage().contains("bad.jsonl, line 3: "), ends.getMessage());
  }

  @Test
  void aTableWithAMissingColumnIsNamed() throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("bad.csv"),
            "job,task,class,took_s,end\nj1,0,c,60,done\nj2,0,c,60\nj3,0,c,many,done\n");
    List<String> told = new ArrayList<>();
    new HistoryReader(file, false, (where, number, why) -> told.add(number + ": " + why))
        .read((ended, best) -> {});
    assertEquals(
        List.of("3: 4 columns where the headings are 5", "4: field took_s is missing or invalid"),
        told);
  }

  @Test
  void absurdAndDisorderlyRunsAreCounted() throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("odd.jsonl"),
            """
                {"at_s":9,"job":"a","task":0,"class":"c","guess_s":60,"took_s":60,"end":"done"}
                {"at_s":3,"job":"b","task":0,"class":"c","guess_s":60,"took_s":0,"end":"done"}
                {"at_s":5,"job":"c","task":0,"class":"c","guess_s":60,"took_s":9e8,"end":"done"}
                {"at_s":7,"job":"d","task":0,"class":"c","guess_s":0,"took_s":60,"end":"part"}
                """);
    Replay asItStands = ReplayRunner.replay(reader(file), false, false, SILENT);
    assertEquals(1, asItStands.predictedRuns());
    assertEquals(2, asItStands.implausibleRuns());
    assertEquals(1, asItStands.stoppedRuns());
    assertEquals(1, asItStands.runsOutOfOrder());
    assertEquals(0, ReplayRunner.replay(reader(file), true, false, SILENT).runsOutOfOrder());
  }

  @Test
  void thePageHasItsPlotsAndTables() throws Exception {
    Replay replay =
        ReplayRunner.replay(
            reader(drawn(5, 2_500, HistoryWriter.Format.JSONL)), false, true, SILENT);
    StringWriter page = new StringWriter();
    new HtmlReport(replay).write("a <history> & more", page);
    String text = page.toString();
    assertTrue(text.contains("a &lt;history&gt; &amp; more"));
    int plots = 0;
    for (int from = text.indexOf("<svg"); from >= 0; from = text.indexOf("<svg", from + 1)) {
      String plot = text.substring(from, text.indexOf("</svg>", from) + 6);
      DocumentBuilderFactory.newInstance()
          .newDocumentBuilder()
          .parse(new java.io.ByteArrayInputStream(plot.getBytes(StandardCharsets.UTF_8)));
      plots++;
    }
    assertEquals(3, plots);
    for (String way : List.of("guess", "ratio", "nearest", "forever", "learned", "best")) {
      assertTrue(text.contains(way), way);
    }
  }

  @Test
  void progressIsToldOnceASecond() {
    ByteArrayOutputStream told = new ByteArrayOutputStream();
    AtomicLong nanos = new AtomicLong();
    ProgressPrinter progress =
        new ProgressPrinter(
            new PrintStream(told, true, StandardCharsets.UTF_8), "runs", nanos::get);
    for (int i = 0; i < 10_000; i++) {
      nanos.addAndGet(250_000);
      progress.step();
    }
    assertEquals(
        List.of("4000 runs", "8000 runs"), told.toString(StandardCharsets.UTF_8).lines().toList());
  }

  /** Of controllers the one that leads answers; a new leader's runs are all taken. */
  @Test
  void collectsFromWhoeverLeads() throws Exception {
    RunHistory[] leading = {history(41, 700)};
    try (AutoServer follower = new AutoServer(path -> null);
        AutoServer leader =
            new AutoServer(
                path ->
                    Json.object(
                        out ->
                            leading[0].write(
                                out, Long.parseLong(path.substring("/history/".length())))))) {
      HistoryClient client = new HistoryClient(List.of(follower.uri(), leader.uri()), 100);
      List<Ended> runs = new ArrayList<>();
      while (client.collect((ended, best) -> runs.add(ended)) > 0) {
        // Until there is nothing new.
      }
      assertEquals(600, runs.size());
      assertEquals(700, client.next());
      leading[0] = history(42, 5);
      assertEquals(5, client.collect((ended, best) -> runs.add(ended)));
      assertEquals(5, client.next());
      leading[0] = history(42, 9_000);
      client.collect((ended, best) -> runs.add(ended));
      assertEquals(4_995, client.missed());
    }
    HistoryClient nobody = new HistoryClient(List.of(URI.create("http://127.0.0.1:1")), 0);
    IOException failed = assertThrows(IOException.class, () -> nobody.collect((ended, best) -> {}));
    assertTrue(
        failed.getMessage().startsWith("no controller answers as the leader: http://127.0.0.1:1"),
        failed.getMessage());
  }

  private static RunHistory history(long term, int runs) {
    RunHistory history = new RunHistory(term);
    for (int i = 1; i <= runs; i++) {
      history.add(
          i,
          new TaskRun(
              new TaskProfile("j" + i, "c", "t", "i", Resources.NONE),
              0,
              i,
              "",
              "",
              1,
              5_000,
              true));
    }
    return history;
  }

  /**
   * A stand-in for a controller's page of history; without an answer it says that it does not lead.
   */
  private record AutoServer(com.sun.net.httpserver.HttpServer server) implements AutoCloseable {
    private interface Answer {
      byte[] to(String path);
    }

    AutoServer(Answer answer) throws IOException {
      this(
          com.sun.net.httpserver.HttpServer.create(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0));
      server.createContext(
          "/",
          exchange -> {
            byte[] body = answer.to(exchange.getRequestURI().getPath());
            exchange.sendResponseHeaders(body == null ? 503 : 200, body == null ? -1 : body.length);
            if (body != null) {
              exchange.getResponseBody().write(body);
            }
            exchange.close();
          });
      server.start();
    }

    URI uri() {
      return URI.create("http://127.0.0.1:" + server.getAddress().getPort());
    }

    @Override
    public void close() {
      server.stop(0);
    }
  }

  @Test
  void answersForADescribedTask() throws IOException {
    StringBuilder lines = new StringBuilder();
    for (int i = 0; i < 40; i++) {
      lines.append(GOOD.formatted(i, "90"));
    }
    Path file = Files.writeString(folder.resolve("plain.jsonl"), lines.toString());
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    int status =
        ToolsRunner.run(
            new PrintWriter(out),
            new PrintWriter(err),
            "estimate",
            "--history",
            file.toString(),
            "--class",
            "c",
            "--cpus",
            "0",
            "--guess",
            "60");
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
  void saysWhatIsWrong(String line) {
    StringWriter err = new StringWriter();
    int status =
        ToolsRunner.run(
            new PrintWriter(new StringWriter()),
            new PrintWriter(err),
            line.isEmpty() ? new String[0] : line.split(" "));
    assertEquals(2, status);
    assertTrue(!err.toString().isBlank() && !err.toString().contains("\tat "), err.toString());
  }
}
