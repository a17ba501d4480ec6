package madderrudder.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import madderrudder.metrics.RunHistory.Ended;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes a history as lines of JSON or as a table. */
public final class HistoryWriter {
  /** How the lines look. */
  public enum Format {
    JSONL,
    CSV
  }

  private final Appendable out;
  private final CSVPrinter table;
  private long lines;

  /** {@code best}: the lines tell what an oracle would say, as those of the generator do. */
  public HistoryWriter(Appendable out, Format format, boolean best) throws IOException {
    this.out = out;
    List<String> headings = new ArrayList<>(RunHistoryCodec.FIELDS);
    if (best) {
      headings.add(HistoryReader.BEST);
    }
    table =
        format == Format.JSONL
            ? null
            : CSVFormat.DEFAULT
                .builder()
                .setHeader(headings.toArray(String[]::new))
                .get()
                .print(out);
  }

  public void write(Ended ended, long bestMicros) throws IOException {
    lines++;
    byte[] text =
        Json.object(
            json -> {
              RunHistoryCodec.write(json, ended);
              if (bestMicros > 0) {
                json.writeNumberField(HistoryReader.BEST, bestMicros / 1e6);
              }
            });
    if (table == null) {
      out.append(new String(text, StandardCharsets.UTF_8)).append('\n');
      return;
    }
    try {
      Fields fields = Json.readObject(text);
      for (String name : RunHistoryCodec.FIELDS) {
        table.print(fields.plain(name));
      }
      if (bestMicros > 0) {
        table.print(fields.plain(HistoryReader.BEST));
      }
      table.println();
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("what was just written can't be read", e);
    }
  }

  public long lines() {
    return lines;
  }
}
