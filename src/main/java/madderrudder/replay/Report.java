package madderrudder.replay;

import java.io.IOException;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.DoubleStream;
import madderrudder.replay.Score.Tally;
import org.HdrHistogram.Histogram;

/** What a replay found, as tables of text. */
public final class Report {
  private static final double NANOS = 1_000;

  private final Replay replay;

  public Report(Replay replay) {
    this.replay = replay;
  }

  /** Writes the tables. */
  public void write(Appendable out) throws IOException {
    out.append(
        String.format(
            Locale.ROOT,
            "%d runs asked for; %d that were stopped, %d absurd, %d out of order%n%n",
            replay.asked(),
            replay.part(),
            replay.absurd(),
            replay.outOfOrder()));
    out.append("share of estimates within a quarter of the true time\n");
    byPart(out, "class", score -> score.byClass, Tally::withinShare, false);
    out.append("\nmedian error, as a factor\n");
    byPart(out, "class", score -> score.byClass, Tally::medianFactor, false);
    out.append(
        String.format(
            Locale.ROOT, "%nshare of runs within bounds that promise %.2f%n", Replay.SHARE));
    byPart(out, "class", score -> score.byClass, Tally::heldShare, true);
    out.append("\nwithin a quarter, by the runs that an estimate goes by\n");
    byPart(out, "runs", score -> score.byEvidence, Tally::withinShare, false);
    out.append("\nshare of runs within bounds, by what they promise\n");
    held(out);
    out.append(
        String.format(
            Locale.ROOT,
            "%nan estimate took %s, an observation %s%n",
            micros(replay.askingNanos()),
            micros(replay.tellingNanos())));
  }

  private void held(Appendable out) throws IOException {
    out.append(String.format("%-14s %8s", "class", "runs"));
    for (double share : Replay.SHARES) {
      out.append(String.format(Locale.ROOT, " %9.2f", share));
    }
    out.append('\n');
    Map<String, Tally> runs = replay.scores().values().iterator().next().byClass;
    for (Map.Entry<String, long[]> entry : replay.held().entrySet()) {
      long asked = runs.get(entry.getKey()).runs;
      row(
          out,
          entry.getKey(),
          asked,
          Arrays.stream(entry.getValue()).mapToDouble(held -> (double) held / asked));
    }
    row(out, "all", replay.asked(), Arrays.stream(replay.heldShares()));
  }

  private static void row(Appendable out, String name, long runs, DoubleStream cells)
      throws IOException {
    out.append(String.format("%-14s %8d", name, runs));
    for (double cell : cells.toArray()) {
      out.append(String.format(Locale.ROOT, " %9.3f", cell));
    }
    out.append('\n');
  }

  private static String micros(Histogram nanos) {
    return String.format(
        Locale.ROOT,
        "%.1f us (p99 %.1f us)",
        nanos.getValueAtPercentile(50) / NANOS,
        nanos.getValueAtPercentile(99) / NANOS);
  }

  /** {@code bounds}: the figure says something of ways with bounds only. */
  private void byPart(
      Appendable out,
      String heading,
      Function<Score, Map<String, Tally>> parts,
      Function<Tally, Double> figure,
      boolean bounds)
      throws IOException {
    Map<String, Score> scores = replay.scores();
    Set<String> names = new TreeSet<>();
    scores.values().forEach(score -> names.addAll(parts.apply(score).keySet()));
    out.append(String.format("%-14s %8s", heading, "runs"));
    for (String way : scores.keySet()) {
      out.append(String.format(" %9s", way));
    }
    out.append('\n');
    Set<String> rows = new LinkedHashSet<>(names);
    rows.add("all");
    for (String name : rows) {
      long runs = 0;
      StringBuilder cells = new StringBuilder();
      for (Map.Entry<String, Score> way : scores.entrySet()) {
        Tally tally =
            name.equals("all") ? way.getValue().all : parts.apply(way.getValue()).get(name);
        boolean says =
            tally != null && tally.runs > 0 && (!bounds || replay.hasBounds(way.getKey()));
        runs = Math.max(runs, tally == null ? 0 : tally.runs);
        cells.append(
            says ? String.format(Locale.ROOT, " %9.3f", figure.apply(tally)) : " ".repeat(9) + "-");
      }
      out.append(String.format("%-14s %8d%s%n", name, runs, cells));
    }
  }
}
