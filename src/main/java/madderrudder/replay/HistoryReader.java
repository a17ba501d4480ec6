package madderrudder.replay;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import madderrudder.estimates.TaskRun;
import madderrudder.metrics.RunHistory.EndedRun;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Json;
import madderrudder.protocol.JsonFields;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.util.BoundedMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads a history of task runs from a file: CSV with a header line if the name of the file ends in
 * .csv, otherwise one JSON object per line. The consumer receives the runs one by one, so a file
 * may be larger than memory. Duplicate runs are skipped.
 */
public final class HistoryReader {
  /**
   * The number of most recent runs among which duplicates are found. Files are concatenated from
   * exports that overlap, so a duplicate follows within this many runs.
   */
  private static final int MAX_REMEMBERED_RUNS = 100_000;

  private static final String CSV_SUFFIX = ".csv";

  /**
   * A field that only generated histories have: the run time in seconds that an oracle predicts
   * that uses the parameters from which the run was drawn.
   */
  static final String ORACLE_FIELD = "best_s";

  private static final Set<String> NUMERIC_FIELDS =
      Set.of(
          "at_s",
          "task",
          "attempt",
          "cpus",
          "gpus",
          "memory_gb",
          "guess_s",
          "took_s",
          ORACLE_FIELD);

  /** The syntax of a number in JSON. */
  private static final Pattern JSON_NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?");

  private final Path file;
  private final boolean strict;
  private final MalformedLineListener listener;
  private final Set<String> recentRunKeys =
      Collections.newSetFromMap(BoundedMap.evictingOldest(MAX_REMEMBERED_RUNS));
  private long linesRead;
  private long malformedLines;
  private long duplicateRuns;

  /** Receives the runs of a history one by one. */
  public interface RunConsumer {
    /**
     * Receives the next run.
     *
     * @param ended the run and the time of its end
     * @param oracleMicros the run time that the generator's oracle predicts, in microseconds, or 0
     *     if the history does not have it
     * @throws IOException if the run can't be processed; this ends the reading
     */
    void accept(EndedRun ended, long oracleMicros) throws IOException;
  }

  /** Receives the malformed lines of a history. */
  public interface MalformedLineListener {
    /**
     * Called for each malformed line.
     *
     * @param file the file that is read
     * @param line the number of the line, counted from 1
     * @param problem what is wrong with the line
     */
    void onMalformedLine(Path file, long line, String problem);
  }

  /** Thrown at a malformed line when the reader is strict. */
  public static final class MalformedLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(Path file, long line, String problem) {
      super(file + ", line " + line + ": " + problem);
    }
  }

  /**
   * Creates a reader; the file is opened by {@link #read}.
   *
   * @param file the history file
   * @param strict whether a malformed line ends the reading; otherwise it is skipped
   * @param listener receives the malformed lines that are skipped
   */
  public HistoryReader(Path file, boolean strict, MalformedLineListener listener) {
    this.file = file;
    this.strict = strict;
    this.listener = listener;
  }

  /**
   * Reads the whole file.
   *
   * @param consumer receives the runs in the order of the file, without duplicates
   * @throws MalformedLineException at a malformed line, if strict
   * @throws IOException if the file can't be read, or if the consumer fails
   */
  public void read(RunConsumer consumer) throws IOException {
    try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      if (file.toString().endsWith(CSV_SUFFIX)) {
        readCsv(in, consumer);
      } else {
        readJsonLines(in, consumer);
      }
    }
  }

  private void readJsonLines(BufferedReader in, RunConsumer consumer) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      linesRead++;
      if (!line.isBlank()) {
        readRun(line.getBytes(StandardCharsets.UTF_8), consumer);
      }
    }
  }

  private void readCsv(BufferedReader in, RunConsumer consumer) throws IOException {
    CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).get();
    try (CSVParser parser = CSVParser.builder().setReader(in).setFormat(format).get()) {
      List<String> headings = parser.getHeaderNames();
      Iterator<CSVRecord> records = parser.iterator();
      while (records.hasNext()) {
        CSVRecord record = records.next();
        linesRead = parser.getCurrentLineNumber();
        if (record.isConsistent()) {
          readRun(toJson(headings, record), consumer);
        } else {
          reportMalformed(record.size() + " columns, but " + headings.size() + " headings");
        }
      }
    }
  }

  /** Converts a CSV record to the JSON object that a line of the JSON format has for the run. */
  private static byte[] toJson(List<String> headings, CSVRecord record) {
    return Json.object(
        out -> {
          for (String heading : headings) {
            writeCell(out, heading, record.get(heading));
          }
        });
  }

  /**
   * Writes a CSV cell as a JSON field. An empty number is omitted; an invalid number is written as
   * a string, which {@link RunHistoryCodec} then rejects with the name of the field.
   */
  private static void writeCell(JsonGenerator out, String heading, String text) throws IOException {
    if (!NUMERIC_FIELDS.contains(heading)) {
      out.writeStringField(heading, text);
    } else if (JSON_NUMBER.matcher(text).matches()) {
      out.writeFieldName(heading);
      out.writeRawValue(text);
    } else if (!text.isEmpty()) {
      out.writeStringField(heading, text);
    }
  }

  private void readRun(byte[] json, RunConsumer consumer) throws IOException {
    EndedRun ended;
    long oracleMicros;
    try {
      JsonFields fields = Json.readObject(json);
      ended = RunHistoryCodec.read(fields);
      oracleMicros = fields.secondsAsMicros(ORACLE_FIELD, 0);
    } catch (MalformedMessageException e) {
      reportMalformed(e.getMessage());
      return;
    }
    TaskRun run = ended.run();
    if (!recentRunKeys.add(run.profile().job() + "/" + run.taskIndex() + "/" + run.attempt())) {
      duplicateRuns++;
      return;
    }
    consumer.accept(ended, oracleMicros);
  }

  /** Reports the line that was read last as malformed. */
  private void reportMalformed(String problem) throws IOException {
    if (strict) {
      throw new MalformedLineException(file, linesRead, problem);
    }
    malformedLines++;
    listener.onMalformedLine(file, linesRead, problem);
  }

  /** Returns the number of lines read, including empty lines and the header. */
  public long linesRead() {
    return linesRead;
  }

  /** Returns the number of lines skipped because they were malformed. */
  public long malformedLines() {
    return malformedLines;
  }

  /** Returns the number of runs skipped because they had been read before. */
  public long duplicateRuns() {
    return duplicateRuns;
  }
}
