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
 * Reads a history of runs: a JSON object a line, or a table with a line of headings if the name of
 * the file ends in .csv. Runs are passed on one by one, so that a file may be larger than memory. A
 * run that has been read before is left out.
 */
public final class HistoryReader {
  /**
   * A run that is repeated is repeated within so many lines: exports overlap, and files are put
   * together of them.
   */
  private static final int MAX_REMEMBERED_RUNS = 100_000;

  private static final String TABLE_SUFFIX = ".csv";

  /**
   * A field that only generated histories have: what an oracle would predict that knows how the run
   * was drawn, in seconds.
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

  /** A number as JSON allows it. */
  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?");

  private final Path file;
  private final boolean strict;
  private final MalformedLineListener listener;
  private final Set<String> rememberedRuns =
      Collections.newSetFromMap(BoundedMap.evictingOldest(MAX_REMEMBERED_RUNS));
  private long lines;
  private long malformed;
  private long repeated;

  /** Takes the runs of a history one by one. */
  public interface RunConsumer {
    /**
     * Takes the next run.
     *
     * @param oracleMicros what an oracle would predict, in microseconds, or 0 if the history does
     *     not say
     * @throws IOException ends the reading
     */
    void accept(EndedRun ended, long oracleMicros) throws IOException;
  }

  /** Takes the malformed lines of a history. */
  public interface MalformedLineListener {
    /** Called for each malformed line; lines are counted from 1. */
    void malformed(Path file, long line, String problem);
  }

  /** A malformed line where none is allowed. */
  public static final class MalformedLineException extends IOException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(Path file, long line, String problem) {
      super(file + ", line " + line + ": " + problem);
    }
  }

  /**
   * A reader of the file, which is not opened yet.
   *
   * @param strict whether a malformed line ends the reading; otherwise it is left out
   * @param listener takes the malformed lines that are left out
   */
  public HistoryReader(Path file, boolean strict, MalformedLineListener listener) {
    this.file = file;
    this.strict = strict;
    this.listener = listener;
  }

  /**
   * Reads the whole file.
   *
   * @throws MalformedLineException at a malformed line, if strict
   * @throws IOException if the file can't be read, or if the consumer fails
   */
  public void read(RunConsumer consumer) throws IOException {
    try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      if (file.toString().endsWith(TABLE_SUFFIX)) {
        readTable(in, consumer);
      } else {
        readLines(in, consumer);
      }
    }
  }

  private void readLines(BufferedReader in, RunConsumer consumer) throws IOException {
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lines++;
      if (!line.isBlank()) {
        readRun(line.getBytes(StandardCharsets.UTF_8), consumer);
      }
    }
  }

  private void readTable(BufferedReader in, RunConsumer consumer) throws IOException {
    CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).get();
    try (CSVParser parser = CSVParser.builder().setReader(in).setFormat(format).get()) {
      List<String> headings = parser.getHeaderNames();
      Iterator<CSVRecord> records = parser.iterator();
      while (records.hasNext()) {
        CSVRecord record = records.next();
        lines = parser.getCurrentLineNumber();
        if (record.isConsistent()) {
          readRun(json(headings, record), consumer);
        } else {
          reportMalformed(record.size() + " columns where the headings are " + headings.size());
        }
      }
    }
  }

  /** The record as the JSON object that a line of the other format would have. */
  private static byte[] json(List<String> headings, CSVRecord record) {
    return Json.object(
        out -> {
          for (String heading : headings) {
            writeCell(out, heading, record.get(heading));
          }
        });
  }

  /** An empty number is left out; what is no number is written as text, and refused as such. */
  private static void writeCell(JsonGenerator out, String heading, String text) throws IOException {
    if (!NUMERIC_FIELDS.contains(heading)) {
      out.writeStringField(heading, text);
    } else if (NUMBER.matcher(text).matches()) {
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
    if (!rememberedRuns.add(run.profile().job() + "/" + run.task() + "/" + run.attempt())) {
      repeated++;
      return;
    }
    consumer.accept(ended, oracleMicros);
  }

  /** Of the line that was read last. */
  private void reportMalformed(String problem) throws IOException {
    if (strict) {
      throw new MalformedLineException(file, lines, problem);
    }
    malformed++;
    listener.malformed(file, lines, problem);
  }

  /** How many lines have been read. */
  public long lines() {
    return lines;
  }

  /** How many lines were left out since they were malformed. */
  public long malformed() {
    return malformed;
  }

  /** How many lines were left out since their runs had been read before. */
  public long repeated() {
    return repeated;
  }
}
