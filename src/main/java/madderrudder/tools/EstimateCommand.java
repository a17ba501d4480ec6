package madderrudder.tools;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
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
import madderrudder.replay.ProgressPrinter;
import madderrudder.replay.Replay;
import madderrudder.replay.ReplayRunner;
import madderrudder.replay.TextReport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Commands that estimate run times from histories, and replay histories to judge estimates. */
@Command(
    name = "estimate",
    mixinStandardHelpOptions = true,
    description = "Say how long a described task will take, and how sure that is.")
final class EstimateCommand implements Runnable {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final double THOUSANDTHS = 1e3;
  private static final String PROGRESS_UNIT = "runs read";

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
  private String machineType;

  @Option(
      names = "--guess",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "The owner's guess.")
  private double ownerEstimateSeconds;

  @Option(
      names = "--ran",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "For how long it runs already.")
  private double elapsedSeconds;

  @Option(
      names = "--share",
      defaultValue = "0.8",
      paramLabel = "<share>",
      description =
          "The part of such tasks that the bounds shall hold (default: ${DEFAULT-VALUE}).")
  private double coverage;

  @Option(names = "--strict", description = "End at a malformed line, instead of leaving it out.")
  private boolean strict;

  @Override
  public void run() {
    checkOptions();
    Estimator estimator = learn();
    EstimateQuery query = query();
    Estimate estimate = estimator.estimate(query);
    PrintWriter out = spec.commandLine().getOut();
    if (estimate.isUnknown()) {
      out.println("unknown: nothing like it has run, and there is no guess");
      return;
    }
    out.println(
        String.format(
            Locale.ROOT,
            "%.3f s, in %.0f of 100 cases %.3f to %.3f s (%s, from %d runs %s)",
            estimate.medianMicros() / MICROS_PER_SECOND,
            100 * coverage,
            estimate.lowMicros() / MICROS_PER_SECOND,
            estimate.highMicros() / MICROS_PER_SECOND,
            estimate.isConfident() ? "sure" : "unsure",
            estimate.runs(),
            estimate.level().words()));
    out.println(estimator.explain(query));
  }

  private void checkOptions() {
    check(!files.isEmpty(), "--history is missing");
    check(jobClass != null, "--class is missing");
    check(coverage > 0 && coverage < 1, "--share must lie between 0 and 1");
    boolean timesValid = ownerEstimateSeconds >= 0 && elapsedSeconds >= 0;
    boolean amountsValid = cpus >= 0 && gpus >= 0 && memoryGb >= 0;
    check(timesValid && amountsValid, "amounts and times must be at least 0");
  }

  private Estimator learn() {
    ProgressPrinter progress = new ProgressPrinter(System.err, PROGRESS_UNIT);
    try {
      return ReplayRunner.learn(files, strict, printTo(spec.commandLine().getErr()), progress);
    } catch (IOException e) {
      throw new ParameterException(spec.commandLine(), message(e));
    }
  }

  private EstimateQuery query() {
    Resources resources =
        new Resources(
            Math.round(THOUSANDTHS * cpus),
            Math.round(THOUSANDTHS * gpus),
            Math.round(THOUSANDTHS * memoryGb));
    return new EstimateQuery(
        new TaskProfile("", jobClass, team, image, resources),
        Math.round(MICROS_PER_SECOND * ownerEstimateSeconds),
        machineType,
        Math.round(MICROS_PER_SECOND * elapsedSeconds),
        coverage);
  }

  private void check(boolean valid, String problem) {
    if (!valid) {
      throw new ParameterException(spec.commandLine(), problem);
    }
  }

  private static String message(IOException e) {
    return e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.getMessage();
  }

  private static HistoryReader.MalformedLineListener printTo(PrintWriter err) {
    return (file, line, problem) ->
        err.println("madderrudder: " + file + ", line " + line + " is left out: " + problem);
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
          boolean allMethods,
      @Option(
              names = "--strict",
              description = "End at a malformed line, instead of leaving it out.")
          boolean strictReplay)
      throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    HistoryReader reader = new HistoryReader(file, strictReplay, printTo(err));
    Replay replay;
    try {
      replay =
          ReplayRunner.replay(
              reader, byTime, allMethods, new ProgressPrinter(System.err, PROGRESS_UNIT));
    } catch (NoSuchFileException e) {
      throw new IOException(message(e), e);
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
    new TextReport(replay).write(out);
    out.flush();
    if (html != null) {
      try (Writer page = Files.newBufferedWriter(html, StandardCharsets.UTF_8)) {
        new HtmlReport(replay).write(source, page);
      }
    }
    return 0;
  }
}
