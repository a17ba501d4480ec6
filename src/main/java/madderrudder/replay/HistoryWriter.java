package madderrudder.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVPrinter;

/** Writes a history of runs. */
public final class HistoryWriter {
  /** The format of a history. */
  public enum Format {
    /** A JSON object a line. */
    JSONL,
    /** A table with a line of headings. */
    CSV
  }

  private final Appendable out;

  /** Null for {@link Format#JSONL}. */
  private final CSVPrinter table;

  private long lines;

  /**
   * A writer; for a table the headings are written at once.
   *
   * @param withOracle whether runs come with what an oracle would predict, as those of the
   *     generator do; needed for the headings of a table
   * @throws IOException if {@code out} fails
   */
  public HistoryWriter(Appendable out, Format format, boolean withOracle) throws IOException {
    this.out = out;
    table = format == Format.CSV ? openTable(out, withOracle) : null;
  }

  private static CSVPrinter openTable(Appendable out, boolean withOracle) throws IOException {
    List<String> headings = new ArrayList<>(RunHistoryCodec.FIELDS);
    if (withOracle) {
      headings.add(HistoryReader.ORACLE_FIELD);
    }
    return CSVFormat.DEFAULT.builder().setHeader(headings.toArray(String[]::new)).get().print(out);
  }

  /**
   * Writes a run as a line.
   *
   * @param oracleMicros what an oracle would predict, or 0 if that is not known
   * @throws IOException if {@code out} fails
   */
  public void write(EndedRun ended, long oracleMicros) throws IOException {
    lines++;
    byte[] json = json(ended, oracleMicros);
    if (table == null) {
      out.append(new String(json, StandardCharsets.UTF_8)).append('\n');
    } else {
      writeRow(json, oracleMicros > 0);
    }
  }

  private static byte[] json(EndedRun ended, long oracleMicros) {
    return Json.object(
        json -> {
          RunHistoryCodec.write(json, ended);
          if (oracleMicros > 0) {
            json.writeNumberField(HistoryReader.ORACLE_FIELD, oracleMicros / 1e6);
          }
        });
  }

  private void writeRow(byte[] json, boolean withOracle) throws IOException {
    try {
      JsonFields fields = Json.readObject(json);
      for (String name : RunHistoryCodec.FIELDS) {
        table.print(fields.asPlainText(name));
      }
      if (withOracle) {
        table.print(fields.asPlainText(HistoryReader.ORACLE_FIELD));
      }
      table.println();
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("what was just written can't be read", e);
    }
  }

  /** How many runs have been written. */
  public long lines() {
    return lines;
  }
}
