package madderrudder.tools;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import madderrudder.estimates.Estimate;
import madderrudder.estimates.EstimateQuery;
import madderrudder.estimates.Estimator;
import madderrudder.estimates.TaskProfile;
import madderrudder.protocol.Resources;
import madderrudder.replay.HistoryReader;
import madderrudder.replay.HtmlReport;
import madderrudder.replay.Progress;
import madderrudder.replay.Replay;
import madderrudder.replay.Replays;
import madderrudder.replay.Report;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** How long a task will take, from histories of what has run. */
@Command(
    name = "estimate",
    mixinStandardHelpOptions = true,
    description = "Say how long a described task will take, and how sure that is.")
final class EstimateCommand implements Runnable {
  private static final double MICROS = 1e6;

  @Spec private CommandSpec spec;

  @Option(
      names = "--history",
      paramLabel = "FILE",
      description = "What has run; may be given several times.")
  private List<Path> files = List.of();

  @Option(
      names = "--class",
      paramLabel = "NAME",
      description = "Of the job, as in the history; needed.")
  private String jobClass;

  @Option(
      names = "--team",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Whose job it is.")
  private String team;

  @Option(
      names = "--image",
      defaultValue = "",
      paramLabel = "NAME",
      description = "What its tasks run in.")
  private String image;

  @Option(
      names = "--cpus",
      defaultValue = "1",
      description = "Of a task (default: ${DEFAULT-VALUE}).")
  private double cpus;

  @Option(
      names = "--gpus",
      defaultValue = "0",
      description = "Of a task (default: ${DEFAULT-VALUE}).")
  private double gpus;

  @Option(
      names = "--memory-gb",
      defaultValue = "0",
      description = "Of a task (default: ${DEFAULT-VALUE}).")
  private double memoryGb;

  @Option(
      names = "--type",
      defaultValue = "",
      paramLabel = "NAME",
      description = "The type of the machine.")
  private String type;

  @Option(
      names = "--guess",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "The owner's guess.")
  private double guessSeconds;

  @Option(
      names = "--ran",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "For how long it runs already.")
  private double ranSeconds;

  @Option(
      names = "--share",
      defaultValue = "0.8",
      description =
          "The part of such tasks that the bounds shall hold (default: ${DEFAULT-VALUE}).")
  private double share;

  @Option(names = "--strict", description = "End at a malformed line, instead of leaving it out.")
  private boolean strict;

  @Override
  public void run() {
    check(!files.isEmpty(), "--history is missing");
    check(jobClass != null, "--class is missing");
    check(share > 0 && share < 1, "--share must lie between 0 and 1");
    check(
        guessSeconds >= 0 && ranSeconds >= 0 && cpus >= 0 && gpus >= 0 && memoryGb >= 0,
        "amounts and times must be at least 0");
    PrintWriter err = spec.commandLine().getErr();
    Estimator estimator;
    try {
      estimator =
          Replays.learn(files, strict, problems(err), new Progress(System.err, "runs read"));
    } catch (IOException e) {
      throw new ParameterException(spec.commandLine(), reason(e));
    }
    TaskProfile profile =
        new TaskProfile(
            "",
            jobClass,
            team,
            image,
            new Resources(
                Math.round(1e3 * cpus), Math.round(1e3 * gpus), Math.round(1e3 * memoryGb)));
    EstimateQuery question =
        new EstimateQuery(
            profile,
            Math.round(MICROS * guessSeconds),
            type,
            Math.round(MICROS * ranSeconds),
            share);
    Estimate estimate = estimator.estimate(question);
    PrintWriter out = spec.commandLine().getOut();
    if (estimate.isUnknown()) {
      out.println("unknown: nothing like it has run, and there is no guess");
      return;
    }
    out.println(
        String.format(
            Locale.ROOT,
            "%.3f s, in %.0f of 100 cases %.3f to %.3f s (%s, from %d runs %s)",
            estimate.medianMicros() / MICROS,
            100 * share,
            estimate.lowMicros() / MICROS,
            estimate.highMicros() / MICROS,
            estimate.isConfident() ? "sure" : "unsure",
            estimate.runs(),
            estimate.level().words()));
    out.println(estimator.explain(question));
  }

  private void check(boolean good, String problem) {
    if (!good) {
      throw new ParameterException(spec.commandLine(), problem);
    }
  }

  private static String reason(IOException e) {
    return e instanceof java.nio.file.NoSuchFileException
        ? "no such file: " + e.getMessage()
        : e.getMessage();
  }

  private static HistoryReader.Problems problems(PrintWriter err) {
    return (file, line, why) ->
        err.println("madderrudder: " + file + ", line " + line + " is left out: " + why);
  }

  @Command(
      name = "replay",
      mixinStandardHelpOptions = true,
      description = "Play a history: ask before each run, and say how well estimates did.")
  int replay(
      @Option(names = "--history", required = true, paramLabel = "FILE") Path file,
      @Option(names = "--html", paramLabel = "FILE", description = "Write a page with plots too.")
          Path html,
      @Option(names = "--by-time", description = "In the order of its times, not of its lines.")
          boolean byTime,
      @Option(
              names = "--all-ways",
              description = "Also the ways to learn that were weighed and not taken.")
          boolean allWays,
      @Option(
              names = "--strict",
              description = "End at a malformed line, instead of leaving it out.")
          boolean strictly)
      throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    HistoryReader reader = new HistoryReader(file, strictly, problems(err));
    Replay replay;
    try {
      replay = Replays.replay(reader, byTime, allWays, new Progress(System.err, "runs read"));
    } catch (java.nio.file.NoSuchFileException e) {
      throw new IOException(reason(e), e);
    }
    String source =
        file
            + ": "
            + reader.lines()
            + " lines, "
            + reader.malformed()
            + " malformed, "
            + reader.repeated()
            + " repeated";
    out.println(source);
    new Report(replay).write(out);
    out.flush();
    if (html != null) {
      try (Writer page = Files.newBufferedWriter(html, StandardCharsets.UTF_8)) {
        new HtmlReport(replay).write(source, page);
      }
    }
    return 0;
  }
}
