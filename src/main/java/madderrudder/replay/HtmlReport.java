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

/** What a replay found, as one page that needs nothing else: the tables, and plots drawn in it. */
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
    // Plots are drawn into text; there need be no screen.
    System.setProperty("java.awt.headless", "true");
  }

  public HtmlReport(Replay replay) {
    this.replay = replay;
  }

  /** Writes the page; the source is what was replayed. */
  public void write(String source, Appendable out) throws IOException {
    out.append(HEAD).append("<p>").append(escaped(source)).append("</p>\n");
    section(out, "Within a quarter of the true time, by class", byClass());
    section(out, "Within a quarter of the true time, in the course of the history", byTime());
    section(out, "What bounds promise, and what they hold", calibration());
    StringBuilder tables = new StringBuilder();
    new Report(replay).write(tables);
    out.append("<h2>Tables</h2>\n<pre>")
        .append(escaped(tables.toString()))
        .append("</pre>\n</body></html>\n");
  }

  private static void section(Appendable out, String heading, JFreeChart chart) throws IOException {
    chart.setBackgroundPaint(Color.WHITE);
    SVGGraphics2D drawing = new SVGGraphics2D(WIDTH, HEIGHT);
    chart.draw(drawing, new Rectangle(WIDTH, HEIGHT));
    out.append("<h2>")
        .append(escaped(heading))
        .append("</h2>\n")
        .append(drawing.getSVGElement())
        .append('\n');
  }

  private JFreeChart byClass() {
    DefaultCategoryDataset data = new DefaultCategoryDataset();
    replay
        .scores()
        .forEach(
            (way, score) ->
                score.byClass.forEach(
                    (name, tally) -> data.addValue(tally.withinShare(), way, name)));
    return ChartFactory.createBarChart(
        null, "class", "share", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private JFreeChart byTime() {
    XYSeriesCollection data = new XYSeriesCollection();
    for (Map.Entry<String, Score> way : replay.scores().entrySet()) {
      XYSeries series = new XYSeries(way.getKey());
      way.getValue()
          .byTime
          .forEach(
              (chunk, tally) -> series.add((double) chunk * Replay.CHUNK, tally.withinShare()));
      data.addSeries(series);
    }
    return ChartFactory.createXYLineChart(
        null, "runs", "share", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private JFreeChart calibration() {
    XYSeries ideal = new XYSeries("as promised");
    XYSeries held = new XYSeries("held");
    double[] shares = replay.heldShares();
    for (int i = 0; i < shares.length; i++) {
      ideal.add(Replay.SHARES.get(i), Replay.SHARES.get(i));
      held.add(Replay.SHARES.get(i), (Number) shares[i]);
    }
    XYSeriesCollection data = new XYSeriesCollection();
    data.addSeries(ideal);
    data.addSeries(held);
    return ChartFactory.createXYLineChart(
        null, "promised", "held", data, PlotOrientation.VERTICAL, true, false, false);
  }

  private static String escaped(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
