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

/** Writes a history of task runs as JSON lines or as CSV. */
public final class HistoryWriter {
  /** The file format of a history. */
  public enum Format {
    /** One JSON object per line. */
    JSONL,
    /** Comma-separated values with a header line. */
    CSV
  }

  private final Appendable out;

  /** Null for {@link Format#JSONL}. */
  private final CSVPrinter csv;

  private long writtenRuns;

  /**
   * Creates a writer, and writes the header line of {@link Format#CSV}.
   *
   * @param out the destination of the history
   * @param format the file format
   * @param withOracle whether the runs have an oracle's prediction, as those of {@link
   *     HistoryGenerator} do; for {@link Format#CSV} it adds the column
   * @throws IOException if {@code out} fails
   */
  public HistoryWriter(Appendable out, Format format, boolean withOracle) throws IOException {
    this.out = out;
    csv = format == Format.CSV ? openCsv(out, withOracle) : null;
  }

  private static CSVPrinter openCsv(Appendable out, boolean withOracle) throws IOException {
    List<String> headings = new ArrayList<>(RunHistoryCodec.FIELDS);
    if (withOracle) {
      headings.add(HistoryReader.ORACLE_FIELD);
    }
    return CSVFormat.DEFAULT.builder().setHeader(headings.toArray(String[]::new)).get().print(out);
  }

  /**
   * Writes a run as one record.
   *
   * @param ended the run and the time of its end
   * @param oracleMicros the run time that the generator's oracle predicts, in microseconds, or 0 if
   *     there is none
   * @throws IOException if {@code out} fails
   */
  public void write(EndedRun ended, long oracleMicros) throws IOException {
    writtenRuns++;
    byte[] json = toJson(ended, oracleMicros);
    if (csv == null) {
      out.append(new String(json, StandardCharsets.UTF_8)).append('\n');
    } else {
      writeCsvRow(json, oracleMicros > 0);
    }
  }

  private static byte[] toJson(EndedRun ended, long oracleMicros) {
    return Json.object(
        json -> {
          RunHistoryCodec.write(json, ended);
          if (oracleMicros > 0) {
            json.writeNumberField(HistoryReader.ORACLE_FIELD, oracleMicros / 1e6);
          }
        });
  }

  private void writeCsvRow(byte[] json, boolean withOracle) throws IOException {
    try {
      JsonFields fields = Json.readObject(json);
      for (String name : RunHistoryCodec.FIELDS) {
        csv.print(fields.asPlainText(name));
      }
      if (withOracle) {
        csv.print(fields.asPlainText(HistoryReader.ORACLE_FIELD));
      }
      csv.println();
    } catch (MalformedMessageException e) {
      throw new IllegalStateException("JSON record that was just written can't be parsed", e);
    }
  }

  /** Returns the number of runs written. */
  public long writtenRuns() {
    return writtenRuns;
  }
}
