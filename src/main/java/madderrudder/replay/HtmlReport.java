package madderrudder.replay;

import java.awt.Color;
import java.awt.Rectangle;
import java.io.IOException;
import java.util.Map;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/**
 * Writes the result of a replay as one HTML page without external files: plots as inline SVG, and
 * the tables of {@link TextReport}.
 */
public final class HtmlReport {
  private static final int PLOT_WIDTH = 900;
  private static final int PLOT_HEIGHT = 360;
  private static final String PAGE_HEAD =
      """
            <!doctype html>
            <html lang="en"><head><meta charset="utf-8"><title>Run time predictions</title>
            <style>body{font-family:sans-serif;margin:2em auto;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
            </head><body>
            <h1>Run time predictions</h1>
            """;

  private final Replay replay;

  static {
    // The plots are rendered to SVG text, which needs no display.
    System.setProperty("java.awt.headless", "true");
  }

  /**
   * Creates a report.
   *
   * @param replay the replay, whose state at the time of {@link #write} is reported
   */
  public HtmlReport(Replay replay) {
    this.replay = replay;
  }

  /**
   * Writes the page.
   *
   * @param source describes the replayed history, as plain text
   * @param out the destination of the page
   * @throws IOException if {@code out} fails
   */
  public void write(String source, Appendable out) throws IOException {
    out.append(PAGE_HEAD).append("<p>").append(escapeHtml(source)).append("</p>\n");
    writeSection(
        out, "Share of estimates within 25 % of the actual run time, by class", classChart());
    writeSection(
        out,
        "Share of estimates within 25 % of the actual run time, over the history",
        timeChart());
    writeSection(
        out, "Observed coverage of prediction intervals, by nominal coverage", coverageChart());
    StringBuilder tables = new StringBuilder();
    new TextReport(replay).write(tables);
    out.append("<h2>Tables</h2>\n<pre>")
        .append(escapeHtml(tables.toString()))
        .append("</pre>\n</body></html>\n");
  }

  private static void writeSection(Appendable out, String heading, JFreeChart chart)
      throws IOException {
    chart.setBackgroundPaint(Color.WHITE);
    SVGGraphics2D drawing = new SVGGraphics2D(PLOT_WIDTH, PLOT_HEIGHT);
    chart.draw(drawing, new Rectangle(PLOT_WIDTH, PLOT_HEIGHT));
    out.append("<h2>")
        .append(escapeHtml(heading))
        .append("</h2>\n")
        .append(drawing.getSVGElement())
        .append('\n');
  }

  private JFreeChart classChart() {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    replay
        .scores()
        .forEach(
            (predictor, score) ->
                score.byClass.forEach(
                    (name, tally) -> data.addValue(tally.nearShare(), predictor, name)));
    return ChartFactory.createBarChart(
        null, "class", "share", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private JFreeChart timeChart() {
    XYSeriesCollection data = new XYSeriesCollection();
    for (Map.Entry<String, PredictionScore> entry : replay.scores().entrySet()) {
      XYSeries series = new XYSeries(entry.getKey());
      entry
          .getValue()
          .byChunk
          .forEach(
              (chunk, tally) ->
                  series.add((double) chunk * Replay.RUNS_PER_CHUNK, tally.nearShare()));
      data.addSeries(series);
    }
    return ChartFactory.createXYLineChart(
        null, "runs", "share", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private JFreeChart coverageChart() {
    XYSeries nominalSeries = new XYSeries("nominal");
    XYSeries observedSeries = new XYSeries("observed");
    double[] observed = replay.observedCoverages();
    for (int i = 0; i < observed.length; i++) {
      nominalSeries.add(Replay.CHECKED_COVERAGES.get(i), Replay.CHECKED_COVERAGES.get(i));
      observedSeries.add(Replay.CHECKED_COVERAGES.get(i), (Number) observed[i]);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(nominalSeries);
    data.addSeries(observedSeries);
    return ChartFactory.createXYLineChart(
        null,
        "nominal coverage",
        "observed coverage",
        data,
        PlotOrientation.VERTICAL,
        true,
        false,
        false);
  }

  private static String escapeHtml(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
