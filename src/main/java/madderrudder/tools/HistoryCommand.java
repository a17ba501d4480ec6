package madderrudder.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import madderrudder.replay.Generator;
import madderrudder.replay.HistoryClient;
import madderrudder.replay.HistoryWriter;
import madderrudder.replay.Progress;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Histories of what has run. */
@Command(
    name = "history",
    description = "Collect or draw histories of runs.",
    mixinStandardHelpOptions = true)
final class HistoryCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "expected export or generate");
  }

  @Command(
      name = "export",
      mixinStandardHelpOptions = true,
      description = "Write what has run under the present leader, the latest 4,000 runs at most.")
  int export(
      @Option(
              names = "--from",
              required = true,
              split = ",",
              paramLabel = "URL",
              description =
                  "The controllers, for instance http://127.0.0.1:7400; the one that leads answers.")
          List<URI> controllers,
      @Option(
              names = "--out",
              paramLabel = "FILE",
              description = "Where to (default: standard output).")
          Path file,
      @Option(
              names = "--format",
              defaultValue = "jsonl",
              paramLabel = "FORMAT",
              description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
          HistoryWriter.Format format,
      @Option(
              names = "--after",
              defaultValue = "0",
              paramLabel = "N",
              description = "Leave out the leader's first N runs.")
          long after,
      @Option(
              names = "--follow",
              paramLabel = "SECONDS",
              defaultValue = "0",
              description = "Ask again this often, until stopped.")
          int followSeconds)
      throws IOException, InterruptedException {
    HistoryClient client = new HistoryClient(controllers, after);
    PrintStream err = System.err;
    try (Writer out = open(file)) {
      HistoryWriter writer = new HistoryWriter(out, format, false);
      do {
        collectAll(client, writer, followSeconds > 0, err);
        out.flush();
        Thread.sleep(1000L * followSeconds);
      } while (followSeconds > 0);
      err.println(
          writer.lines()
              + " runs, "
              + client.missed()
              + " were forgotten before; next time --after "
              + client.next());
    }
    return 0;
  }

  /**
   * While following, controllers may be away for a while; the leader remembers what has run
   * meanwhile.
   */
  private static void collectAll(
      HistoryClient client, HistoryWriter writer, boolean patient, PrintStream err)
      throws IOException, InterruptedException {
    try {
      while (client.collect(writer::write) > 0) {
        // Goes on until there is nothing new.
      }
    } catch (IOException e) {
      if (!patient) {
        throw e;
      }
      err.println("madderrudder: " + e.getMessage());
    }
  }

  @Command(
      name = "generate",
      mixinStandardHelpOptions = true,
      description = "Draw a history of stand-in jobs, the same for the same seed.")
  int generate(
      @Option(
              names = "--seed",
              defaultValue = "1",
              paramLabel = "N",
              description = "(default: ${DEFAULT-VALUE})")
          long seed,
      @Option(
              names = "--runs",
              defaultValue = "50000",
              paramLabel = "N",
              description = "How many (default: ${DEFAULT-VALUE}).")
          long runs,
      @Option(
              names = "--format",
              defaultValue = "jsonl",
              paramLabel = "FORMAT",
              description = "${COMPLETION-CANDIDATES} (default: ${DEFAULT-VALUE}).")
          HistoryWriter.Format format,
      @Option(
              names = "--out",
              paramLabel = "FILE",
              description = "Where to (default: standard output).")
          Path file)
      throws IOException {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
    }
    Progress progress = new Progress(System.err, "runs drawn");
    try (Writer out = open(file)) {
      HistoryWriter writer = new HistoryWriter(out, format, true);
      new Generator(seed, runs)
          .draw(
              (ended, bestMicros) -> {
                progress.step();
                writer.write(ended, bestMicros);
              });
    }
    return 0;
  }

  private static Writer open(Path file) throws IOException {
    return file == null
        ? new java.io.BufferedWriter(
            new java.io.OutputStreamWriter(System.out, StandardCharsets.UTF_8))
        : Files.newBufferedWriter(file, StandardCharsets.UTF_8);
  }
}
