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

/** The result of a replay as tables of text. */
public final class TextReport {
  private static final double NANOS_PER_MICRO = 1_000;

  /** The row for all runs together. */
  private static final String ALL = "all";

  private static final String EMPTY_CELL = " ".repeat(9) + "-";

  private final Replay replay;

  /** A report of what the replay has seen by the time that the report is written. */
  public TextReport(Replay replay) {
    this.replay = replay;
  }

  /**
   * Writes all tables.
   *
   * @throws IOException if {@code out} fails
   */
  public void write(Appendable out) throws IOException {
    out.append(
        format(
            "%d runs asked for; %d that were stopped, %d absurd, %d out of order%n%n",
            replay.predictedRuns(),
            replay.stoppedRuns(),
            replay.implausibleRuns(),
            replay.runsOutOfOrder()));
    out.append("share of estimates within a quarter of the true time\n");
    writeTable(out, "class", score -> score.byClass, ErrorTally::nearShare, false);
    out.append("\nmedian error, as a factor\n");
    writeTable(out, "class", score -> score.byClass, ErrorTally::medianFactor, false);
    out.append(format("%nshare of runs within bounds that promise %.2f%n", Replay.COVERAGE));
    writeTable(out, "class", score -> score.byClass, ErrorTally::observedCoverage, true);
    out.append("\nwithin a quarter, by the runs that an estimate goes by\n");
    writeTable(out, "runs", score -> score.byEvidence, ErrorTally::nearShare, false);
    out.append("\nshare of runs within bounds, by what they promise\n");
    writeCoverages(out);
    out.append(
        format(
            "%nan estimate took %s, an observation %s%n",
            percentiles(replay.predictionNanos()), percentiles(replay.observationNanos())));
  }

  private void writeCoverages(Appendable out) throws IOException {
    out.append(format("%-14s %8s", "class", "runs"));
    for (double coverage : Replay.COVERAGES) {
      out.append(format(" %9.2f", coverage));
    }
    out.append('\n');
    Map<String, ErrorTally> tallies = replay.scores().values().iterator().next().byClass;
    for (Map.Entry<String, long[]> entry : replay.containedByClass().entrySet()) {
      long runs = tallies.get(entry.getKey()).runs();
      DoubleStream coverages =
          Arrays.stream(entry.getValue()).mapToDouble(contained -> (double) contained / runs);
      writeCoverageRow(out, entry.getKey(), runs, coverages);
    }
    writeCoverageRow(out, ALL, replay.predictedRuns(), Arrays.stream(replay.observedCoverages()));
  }

  private static void writeCoverageRow(
      Appendable out, String name, long runs, DoubleStream coverages) throws IOException {
    out.append(format("%-14s %8d", name, runs));
    for (double coverage : coverages.toArray()) {
      out.append(format(" %9.3f", coverage));
    }
    out.append('\n');
  }

  private static String percentiles(Histogram nanos) {
    return format(
        "%.1f us (p99 %.1f us)",
        nanos.getValueAtPercentile(50) / NANOS_PER_MICRO,
        nanos.getValueAtPercentile(99) / NANOS_PER_MICRO);
  }

  /**
   * Writes a table with a column for each predictor and a row for each group of runs.
   *
   * @param groups the groups of a predictor's score, by name
   * @param intervalsOnly the figure says something of predictors with prediction intervals only
   */
  private void writeTable(
      Appendable out,
      String heading,
      Function<PredictionScore, Map<String, ErrorTally>> groups,
      ToDoubleFunction<ErrorTally> figure,
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
        ErrorTally tally = row.equals(ALL) ? score.all : groups.apply(score).get(row);
        runs = Math.max(runs, tally == null ? 0 : tally.runs());
        boolean applies = !intervalsOnly || replay.hasIntervals(entry.getKey());
        cells.append(applies ? cell(tally, figure) : EMPTY_CELL);
      }
      out.append(format("%-14s %8d%s%n", row, runs, cells));
    }
  }

  private Set<String> rows(Function<PredictionScore, Map<String, ErrorTally>> groups) {
    Set<String> sorted = new TreeSet<>();
    replay.scores().values().forEach(score -> sorted.addAll(groups.apply(score).keySet()));
    Set<String> rows = new LinkedHashSet<>(sorted);
    rows.add(ALL);
    return rows;
  }

  private static String cell(ErrorTally tally, ToDoubleFunction<ErrorTally> figure) {
    if (tally == null || tally.runs() == 0) {
      return EMPTY_CELL;
    }
    return format(" %9.3f", figure.applyAsDouble(tally));
  }

  private static String format(String pattern, Object... values) {
    return String.format(Locale.ROOT, pattern, values);
  }
}
