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

/** Writes and reads history files for tests. */
final class Histories {
  /** A progress printer whose output is discarded. */
  static final ProgressPrinter SILENT =
      new ProgressPrinter(new PrintStream(new ByteArrayOutputStream()), "");

  private Histories() {}

  /** Writes a generated history into the folder and returns the file. */
  static Path writeGenerated(Path folder, long seed, long runs, HistoryWriter.Format format)
      throws IOException {
    Path file = folder.resolve("history-" + seed + fileSuffix(format));
    StringWriter out = new StringWriter();
    HistoryWriter writer = new HistoryWriter(out, format, true);
    new HistoryGenerator(seed, runs).generate(writer::write);
    return Files.writeString(file, out.toString());
  }

  /** Returns the suffix of the names of files in the format. */
  static String fileSuffix(HistoryWriter.Format format) {
    return format == HistoryWriter.Format.CSV ? ".csv" : ".jsonl";
  }

  /** Returns a reader that fails at a malformed line. */
  static HistoryReader strictReader(Path file) {
    return new HistoryReader(file, true, (path, line, problem) -> {});
  }

  /** Reads all runs of a file, and fails at a malformed line. */
  static List<EndedRun> readAll(Path file) throws IOException {
    List<EndedRun> runs = new ArrayList<>();
    strictReader(file).read((ended, oracleMicros) -> runs.add(ended));
    return runs;
  }
}
