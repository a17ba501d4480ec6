package madderrudder.replay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import madderrudder.metrics.RunHistory.EndedRun;

/** History files for tests. */
final class Histories {
  /** Discards its output. */
  static final ProgressPrinter SILENT =
      new ProgressPrinter(new PrintStream(new ByteArrayOutputStream()), "");

  private Histories() {}

  static Path generated(Path folder, long seed, long runs, HistoryWriter.Format format)
      throws IOException {
    Path file = folder.resolve("history-" + seed + suffix(format));
    StringWriter out = new StringWriter();
    HistoryWriter writer = new HistoryWriter(out, format, true);
    new HistoryGenerator(seed, runs).generate(writer::write);
    return Files.writeString(file, out.toString());
  }

  static String suffix(HistoryWriter.Format format) {
    return format == HistoryWriter.Format.CSV ? ".csv" : ".jsonl";
  }

  /** A strict reader. */
  static HistoryReader reader(Path file) {
    return new HistoryReader(file, true, (where, line, problem) -> {});
  }

  static List<EndedRun> read(Path file) throws IOException {
    List<EndedRun> all = new ArrayList<>();
    reader(file).read((ended, oracleMicros) -> all.add(ended));
    return all;
  }
}
