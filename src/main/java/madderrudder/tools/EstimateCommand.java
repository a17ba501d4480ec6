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

/**
 * The commands that estimate a run time from histories, and replay a history to score estimates.
 */
@Command(
    name = "estimate",
    mixinStandardHelpOptions = true,
    description = "Estimate the run time of a task from histories, with a prediction interval.")
final class EstimateCommand implements Runnable {
  private static final double MICROS_PER_SECOND = 1e6;
  private static final String PROGRESS_UNIT = "runs read";

  @Spec private CommandSpec spec;

  @Option(
      names = "--history",
      paramLabel = "FILE",
      description = "History file, as written by history export; may be repeated.")
  private List<Path> historyFiles = List.of();

  @Option(
      names = "--class",
      paramLabel = "NAME",
      description = "Class of the job, as in the history; required.")
  private String jobClass;

  @Option(
      names = "--team",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Team that owns the job.")
  private String team;

  @Option(
      names = "--image",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Image of the job's tasks.")
  private String image;

  @Option(
      names = "--cpus",
      defaultValue = "1",
      description = "CPUs of a task (default: ${DEFAULT-VALUE}).")
  private double cpus;

  @Option(
      names = "--gpus",
      defaultValue = "0",
      description = "GPUs of a task (default: ${DEFAULT-VALUE}).")
  private double gpus;

  @Option(
      names = "--memory-gb",
      defaultValue = "0",
      description = "Memory of a task in GB (default: ${DEFAULT-VALUE}).")
  private double memoryGb;

  @Option(
      names = "--type",
      defaultValue = "",
      paramLabel = "NAME",
      description = "Type of the machine that runs the task.")
  private String machineType;

  @Option(
      names = "--guess",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "The owner's estimate of the run time; 0 if there is none.")
  private double ownerEstimateSeconds;

  @Option(
      names = "--ran",
      defaultValue = "0",
      paramLabel = "SECONDS",
      description = "Time for which the task has been running.")
  private double elapsedSeconds;

  @Option(
      names = "--share",
      defaultValue = "0.8",
      paramLabel = "<share>",
      description =
          "Share of such tasks that the interval is expected to contain (default: ${DEFAULT-VALUE}).")
  private double coverage;

  @Option(names = "--strict", description = "Stop at a malformed line instead of skipping it.")
  private boolean strict;

  @Override
  public void run() {
    validateOptions();
    Estimator estimator = learnFromHistory();
    EstimateQuery query = query();
    Estimate estimate = estimator.estimate(query);
    PrintWriter out = spec.commandLine().getOut();
    if (estimate.isUnknown()) {
      out.println("unknown: the history has no similar run, and --guess is not given");
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
            estimate.level().description()));
    out.println(estimator.explain(query));
  }

  private void validateOptions() {
    require(!historyFiles.isEmpty(), "missing option --history");
    require(jobClass != null, "missing option --class");
    require(coverage > 0 && coverage < 1, "--share must be between 0 and 1, both excluded");
    boolean timesValid = ownerEstimateSeconds >= 0 && elapsedSeconds >= 0;
    boolean resourcesValid = isAmount(cpus) && isAmount(gpus) && isAmount(memoryGb);
    require(
        timesValid && resourcesValid,
        "--cpus, --gpus, --memory-gb, --guess and --ran must be at least 0");
  }

  private static boolean isAmount(double value) {
    return value >= 0 && Double.isFinite(value);
  }

  private Estimator learnFromHistory() {
    ProgressPrinter progress = new ProgressPrinter(System.err, PROGRESS_UNIT);
    try {
      return ReplayRunner.learn(
          historyFiles, strict, malformedLinePrinter(spec.commandLine().getErr()), progress);
    } catch (IOException e) {
      throw new ParameterException(spec.commandLine(), errorMessage(e));
    }
  }

  private EstimateQuery query() {
    Resources resources = Resources.of(cpus, gpus, memoryGb);
    return new EstimateQuery(
        new TaskProfile("", jobClass, team, image, resources),
        Math.round(MICROS_PER_SECOND * ownerEstimateSeconds),
        machineType,
        Math.round(MICROS_PER_SECOND * elapsedSeconds),
        coverage);
  }

  private void require(boolean valid, String problem) {
    if (!valid) {
      throw new ParameterException(spec.commandLine(), problem);
    }
  }

  private static String errorMessage(IOException e) {
    return e instanceof NoSuchFileException ? "no such file: " + e.getMessage() : e.getMessage();
  }

  private static HistoryReader.MalformedLineListener malformedLinePrinter(PrintWriter err) {
    return (file, line, problem) ->
        err.println("madderrudder: " + file + ", line " + line + " skipped: " + problem);
  }

  @Command(
      name = "replay",
      mixinStandardHelpOptions = true,
      description =
          "Replay a history: predict each run from the runs before it, and report the accuracy.")
  int replay(
      @Option(
              names = "--history",
              required = true,
              paramLabel = "FILE",
              description = "History file to replay.")
          Path file,
      @Option(
              names = "--html",
              paramLabel = "FILE",
              description = "Write the report as an HTML page with plots, too.")
          Path html,
      @Option(
              names = "--by-time",
              description = "Replay the runs in the order of their ends, not of the lines.")
          boolean byTime,
      @Option(
              names = "--all-ways",
              description = "Score the learning methods that the controllers do not use as well.")
          boolean allMethods,
      @Option(names = "--strict", description = "Stop at a malformed line instead of skipping it.")
          boolean strictReplay)
      throws IOException {
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    HistoryReader reader = new HistoryReader(file, strictReplay, malformedLinePrinter(err));
    Replay replay;
    try {
      replay =
          ReplayRunner.replay(
              reader, byTime, allMethods, new ProgressPrinter(System.err, PROGRESS_UNIT));
    } catch (NoSuchFileException e) {
      throw new IOException(errorMessage(e), e);
    }
    String source =
        file
            + ": "
            + reader.linesRead()
            + " lines, "
            + reader.malformedLines()
            + " malformed, "
            + reader.duplicateRuns()
            + " duplicates";
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
