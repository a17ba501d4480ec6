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

/** The result of a replay as one HTML page without external files: plots as SVG, and the tables. */
public final class HtmlReport {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 360;
  private static final String HEAD =
      """
            <!doctype html>
            <html lang="en"><head><meta charset="utf-8"><title>Run times foretold</title>
            <style>body{font-family:sans-serif;margin:2em auto;max-width:60em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style>
            </head><body>
            <h1>Run times foretold</h1>
            """;

  private final Replay replay;

  static {
    // Plots are drawn into text; no screen is needed.
    System.setProperty("java.awt.headless", "true");
  }

  /** A report of what the replay has seen by the time that the report is written. */
  public HtmlReport(Replay replay) {
    this.replay = replay;
  }

  /**
   * Writes the page.
   *
   * @param source says what was replayed, as plain text
   * @throws IOException if {@code out} fails
   */
  public void write(String source, Appendable out) throws IOException {
    out.append(HEAD).append("<p>").append(escaped(source)).append("</p>\n");
    writeSection(out, "Within a quarter of the true time, by class", chartByClass());
    writeSection(
        out, "Within a quarter of the true time, in the course of the history", chartByTime());
    writeSection(out, "What bounds promise, and what they hold", chartOfCoverages());
    StringBuilder tables = new StringBuilder();
    new TextReport(replay).write(tables);
    out.append("<h2>Tables</h2>\n<pre>")
        .append(escaped(tables.toString()))
        .append("</pre>\n</body></html>\n");
  }

  private static void writeSection(Appendable out, String heading, JFreeChart chart)
      throws IOException {
    chart.setBackgroundPaint(Color.WHITE);
    SVGGraphics2D drawing = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(drawing, new Rectangle(WIDTH, HEIGHT));
    out.append("<h2>")
        .append(escaped(heading))
        .append("</h2>\n")
        .append(drawing.getSVGElement())
        .append('\n');
  }

  private JFreeChart chartByClass() {
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

  private JFreeChart chartByTime() {
    XYSeriesCollection data = new XYSeriesCollection();
    for (Map.Entry<String, PredictionScore> entry : replay.scores().entrySet()) {
      XYSeries series = new XYSeries(entry.getKey());
      entry
          .getValue()
          .byTime
          .forEach((chunk, tally) -> series.add((double) chunk * Replay.CHUNK, tally.nearShare()));
      data.addSeries(series);
    }
    return ChartFactory.createXYLineChart(
        null, "runs", "share", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private JFreeChart chartOfCoverages() {
    XYSeries ideal = new XYSeries("as promised");
    XYSeries actual = new XYSeries("held");
    double[] observed = replay.observedCoverages();
    for (int i = 0; i < observed.length; i++) {
      ideal.add(Replay.COVERAGES.get(i), Replay.COVERAGES.get(i));
      actual.add(Replay.COVERAGES.get(i), (Number) observed[i]);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(ideal);
    data.addSeries(actual);
    return ChartFactory.createXYLineChart(
        null, "promised", "held", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
