package madderrudder.replay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import javax.xml.parsers.DocumentBuilderFactory;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a page that a browser can't display: text that is not escaped, plots that are
 * missing or not well-formed, and predictors without a name.
 */
class HtmlReportTest {
  @TempDir static Path folder;

  private static String page;

  @BeforeAll
  static void writePage() throws IOException {
    Path file = Histories.writeGenerated(folder, 5, 2_500, HistoryWriter.Format.JSONL);
    Replay replay =
        ReplayRunner.replay(Histories.strictReader(file), false, true, Histories.SILENT);
    StringWriter out = new StringWriter();
    new HtmlReport(replay).write("a <history> & more", out);
    page = out.toString();
  }

  @Test
  void escapesTheSource() {
    assertTrue(page.contains("a &lt;history&gt; &amp; more"));
  }

  @Test
  void containsThreePlotsOfWellFormedSvg() throws Exception {
    int plots = 0;
    for (int from = page.indexOf("<svg"); from >= 0; from = page.indexOf("<svg", from + 1)) {
      String plot = page.substring(from, page.indexOf("</svg>", from) + 6);
      DocumentBuilderFactory.newInstance()
          .newDocumentBuilder()
          .parse(new ByteArrayInputStream(plot.getBytes(StandardCharsets.UTF_8)));
      plots++;
    }
    assertEquals(3, plots);
  }

  @ParameterizedTest
  @ValueSource(strings = {"guess", "ratio", "nearest", "forever", "learned", "best"})
  void namesEachPredictor(String predictor) {
    assertTrue(page.contains(predictor));
  }
}
