package madderrudder.replay;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.DoubleStream;
import madderrudder.replay.PredictionScore.ErrorTally;
import org.HdrHistogram.Histogram;

/** Writes the result of a replay as plain-text tables. */
public final class TextReport {
  private static final double NANOS_PER_MICRO = 1_000;

  /** The name of the row for all runs together. */
  private static final String ALL_RUNS_ROW = "all";

  private static final String EMPTY_CELL = " ".repeat(9) + "-";

  private final Replay replay;

  /**
   * Creates a report.
   *
   * @param replay the replay, whose state at the time of {@link #write} is reported
   */
  public TextReport(Replay replay) {
    this.replay = replay;
  }

  /**
   * Writes all tables.
   *
   * @param out the destination of the tables
   * @throws IOException if {@code out} fails
   */
  public void write(Appendable out) throws IOException {
    out.append(
        format(
            "%d runs predicted; %d stopped, %d with implausible times, %d out of order%n%n",
            replay.predictedRuns(),
            replay.stoppedRuns(),
            replay.implausibleRuns(),
            replay.runsOutOfOrder()));
    out.append("share of estimates within 25 % of the actual run time\n");
    writeTable(out, "class", score -> score.byClass, ErrorTally::nearShare, false);
    out.append("\nmedian error, as a factor\n");
    writeTable(out, "class", score -> score.byClass, ErrorTally::medianErrorFactor, false);
    out.append(
        format(
            "%nobserved coverage of prediction intervals with a nominal coverage of %.2f%n",
            Replay.NOMINAL_COVERAGE));
    writeTable(out, "class", score -> score.byClass, ErrorTally::observedCoverage, true);
    out.append(
        "\nshare of estimates within 25 % of the actual run time, by the number of runs that they are based on\n");
    writeTable(out, "runs", score -> score.byEvidence, ErrorTally::nearShare, false);
    out.append("\nobserved coverage of prediction intervals, by nominal coverage\n");
    writeCoverages(out);
    out.append(
        format(
            "%nmedian time per estimate %s, per observation %s%n",
            formatPercentiles(replay.predictionNanos()),
            formatPercentiles(replay.observationNanos())));
  }

  private void writeCoverages(Appendable out) throws IOException {
    out.append(format("%-14s %8s", "class", "runs"));
    for (double coverage : Replay.CHECKED_COVERAGES) {
      out.append(format(" %9.2f", coverage));
    }
    out.append('\n');
    Map<String, ErrorTally> tallies = replay.scores().values().iterator().next().byClass;
    for (Map.Entry<String, long[]> entry : replay.containedRunsByClass().entrySet()) {
      long runs = tallies.get(entry.getKey()).runs();
      DoubleStream coverages =
          Arrays.stream(entry.getValue()).mapToDouble(contained -> (double) contained / runs);
      writeCoverageRow(out, entry.getKey(), runs, coverages);
    }
    writeCoverageRow(
        out, ALL_RUNS_ROW, replay.predictedRuns(), Arrays.stream(replay.observedCoverages()));
  }

  private static void writeCoverageRow(
      Appendable out, String name, long runs, DoubleStream coverages) throws IOException {
    out.append(format("%-14s %8d", name, runs));
    for (double coverage : coverages.toArray()) {
      out.append(format(" %9.3f", coverage));
    }
    out.append('\n');
  }

  /** Returns the median and the 99th percentile in microseconds. */
  private static String formatPercentiles(Histogram nanos) {
    return format(
        "%.1f us (p99 %.1f us)",
        nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
        nanos.getValueAtPercentile(99) / NANOS_PER_MICRO);
  }

  /**
   * Writes a table with a column for each predictor and a row for each group of runs.
   *
   * @param out the destination of the table
   * @param heading the heading of the first column
   * @param groups returns the groups of a predictor's score, by name
   * @param metric returns the value of a cell
   * @param intervalsOnly whether to leave the cells of predictors without prediction intervals
   *     empty
   */
  private void writeTable(
      Appendable out,
      String heading,
      Function<PredictionScore, Map<String, ErrorTally>> groups,
      ToDoubleFunction<ErrorTally> metric,
      boolean intervalsOnly)
      throws IOException {
    Map<String, PredictionScore> scores = replay.scores();
    out.append(format("%-14s %8s", heading, "runs"));
    for (String predictor : scores.keySet()) {
      out.append(format(" %9s", predictor));
    }
    out.append('\n');
    for (String row : rows(groups)) {
      long runs = 0;
      StringBuilder cells = new StringBuilder();
      for (Map.Entry<String, PredictionScore> entry : scores.entrySet()) {
        PredictionScore score = entry.getValue();
        ErrorTally tally = row.equals(ALL_RUNS_ROW) ? score.overall : groups.apply(score).get(row);
        runs = Math.max(runs, tally == null ? 0 : tally.runs());
        boolean applies = !intervalsOnly || replay.hasIntervals(entry.getKey());
        cells.append(applies ? formatCell(tally, metric) : EMPTY_CELL);
      }
      out.append(format("%-14s %8d%s%n", row, runs, cells));
    }
  }

  private Set<String> rows(Function<PredictionScore, Map<String, ErrorTally>> groups) {
    Set<String> sorted = new TreeSet<>();
    replay.scores().values().forEach(score -> sorted.addAll(groups.apply(score).keySet()));
    Set<String> rows = new LinkedHashSet<>(sorted);
    rows.add(ALL_RUNS_ROW);
    return rows;
  }

  private static String formatCell(ErrorTally tally, ToDoubleFunction<ErrorTally> metric) {
    if (tally == null || tally.runs() == 0) {
      return EMPTY_CELL;
    }
    return format(" %9.3f", metric.applyAsDouble(tally));
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
