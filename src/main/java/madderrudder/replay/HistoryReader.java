package madderrudder.replay;

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
import madderrudder.estimates.TaskProfile;
import madderrudder.metrics.RunHistory.Ended;
import madderrudder.metrics.RunHistoryCodec;
import madderrudder.protocol.Fields;
import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.util.BoundedMap;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;

/**
 * Reads a history of runs, a line of JSON each or a table with a line of headings (a file whose
 * name ends in .csv), one after the other, so that a file may be larger than memory. What has been
 * read before is left out.
 */
public final class HistoryReader {
  /**
   * A run that comes twice comes twice within so many lines: exports overlap, and files are put
   * together of them.
   */
  private static final int REMEMBERED = 100_000;

  private static final String TABLE = ".csv";

  /**
   * What only histories from the generator have: what somebody would say who knew how the run was
   * drawn.
   */
  static final String BEST = "best_s";

  private final Path file;
  private final boolean strict;
  private final Problems problems;
  private final Set<String> seen = Collections.newSetFromMap(BoundedMap.evictingOldest(REMEMBERED));
  private long lines;
  private long malformed;
  private long repeated;

  /**
   * Takes a run as it is read; {@code bestMicros} is what an oracle would say, or 0 if the history
   * doesn't tell.
   */
  public interface Use {
    void run(Ended ended, long bestMicros) throws IOException;
  }

  /** Is told of each malformed line, counted from 1. */
  public interface Problems {
    void malformed(Path file, long line, String why);
  }

  /** A malformed line where none is allowed. */
  public static final class Malformed extends IOException {
    private static final long serialVersionUID = 1L;

    Malformed(Path file, long line, String why) {
      super(file + ", line " + line + ": " + why);
    }
  }

  /**
   * A malformed line is told to the problems and left out, or, if {@code strict}, ends the reading.
   */
  public HistoryReader(Path file, boolean strict, Problems problems) {
    this.file = file;
    this.strict = strict;
    this.problems = problems;
  }

  /** Reads all; fails if the file can't be read, or at a malformed line if strict. */
  public void read(Use use) throws IOException {
    try (BufferedReader in = Files.newBufferedReader(file, StandardCharsets.UTF_8)) {
      if (file.toString().endsWith(TABLE)) {
        readTable(in, use);
      } else {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          lines++;
          if (!line.isBlank()) {
            take(line.getBytes(StandardCharsets.UTF_8), lines, use);
          }
        }
      }
    }
  }

  private void readTable(BufferedReader in, Use use) throws IOException {
    CSVFormat format = CSVFormat.DEFAULT.builder().setHeader().setSkipHeaderRecord(true).get();
    try (CSVParser parser = CSVParser.builder().setReader(in).setFormat(format).get()) {
      List<String> headings = parser.getHeaderNames();
      Iterator<CSVRecord> records = parser.iterator();
      while (records.hasNext()) {
        CSVRecord record = records.next();
        lines = parser.getCurrentLineNumber();
        if (!record.isConsistent()) {
          bad(lines, record.size() + " columns where the headings are " + headings.size());
        } else {
          take(
              Json.object(
                  out -> {
                    for (String heading : headings) {
                      cell(out, heading, record.get(heading));
                    }
                  }),
              lines,
              use);
        }
      }
    }
  }

  private static final Set<String> NUMBERS =
      Set.of("at_s", "task", "attempt", "cpus", "gpus", "memory_gb", "guess_s", "took_s", BEST);
  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][-+]?[0-9]+)?");

  private static void cell(
      com.fasterxml.jackson.core.JsonGenerator out, String heading, String text)
      throws IOException {
    if (NUMBERS.contains(heading) && NUMBER.matcher(text).matches()) {
      out.writeFieldName(heading);
      out.writeRawValue(text);
    } else if (!(NUMBERS.contains(heading) && text.isEmpty())) {
      out.writeStringField(heading, text);
    }
  }

  private void take(byte[] text, long line, Use use) throws IOException {
    Ended ended;
    long bestMicros;
    try {
      Fields fields = Json.readObject(text);
      ended = RunHistoryCodec.read(fields);
      bestMicros = fields.secondsAsMicros(BEST, 0);
    } catch (MalformedMessageException e) {
      bad(line, e.getMessage());
      return;
    }
    TaskProfile profile = ended.run().profile();
    if (!seen.add(profile.job() + "/" + ended.run().task() + "/" + ended.run().attempt())) {
      repeated++;
      return;
    }
    use.run(ended, bestMicros);
  }

  private void bad(long line, String why) throws IOException {
    if (strict) {
      throw new Malformed(file, line, why);
    }
    malformed++;
    problems.malformed(file, line, why);
  }

  public long lines() {
    return lines;
  }

  public long malformed() {
    return malformed;
  }

  public long repeated() {
    return repeated;
  }
}
