package madderrudder.tools;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import madderrudder.replay.HistoryWriter;
import picocli.CommandLine.Option;

/** The options of commands that write a history. */
final class OutputOptions {
  @Option(
      names = "--out",
      paramLabel = "FILE",
      description = "Output file (default: standard output).")
  private Path file;

  @Option(
      names = "--format",
      defaultValue = "jsonl",
      paramLabel = "FORMAT",
      description = "File format: ${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
  private HistoryWriter.Format format;

  /** Opens the output file, or standard output if no file is given. */
  Writer open() throws IOException {
    return file == null
        ? new BufferedWriter(new OutputStreamWriter(System.out, StandardCharsets.UTF_8))
        : Files.newBufferedWriter(file, StandardCharsets.UTF_8);
  }

  /** Returns the file format of the history. */
  HistoryWriter.Format format() {
    return format;
  }
}
