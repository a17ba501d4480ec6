package madderrudder.tools;

import java.io.IOException;
import java.io.PrintStream;
import java.io.Writer;
import java.net.URI;
import java.util.List;
import madderrudder.replay.HistoryClient;
import madderrudder.replay.HistoryGenerator;
import madderrudder.replay.HistoryWriter;
import madderrudder.replay.ProgressPrinter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Commands that write histories of runs: collected from controllers, or generated. */
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
      @Mixin OutputOptions output,
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
    try (Writer out = output.open()) {
      HistoryWriter writer = new HistoryWriter(out, output.format(), false);
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
   * Collects until there is nothing new. While following, no leader may answer for a while; that is
   * printed, and the leader still has the latest runs afterwards.
   */
  private static void collectAll(
      HistoryClient client, HistoryWriter writer, boolean following, PrintStream err)
      throws IOException, InterruptedException {
    try {
      int collected;
      do {
        collected = client.collect(writer::write);
      } while (collected > 0);
    } catch (IOException e) {
      if (!following) {
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
      @Mixin OutputOptions output)
      throws IOException {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
    }
    ProgressPrinter progress = new ProgressPrinter(System.err, "runs drawn");
    try (Writer out = output.open()) {
      HistoryWriter writer = new HistoryWriter(out, output.format(), true);
      new HistoryGenerator(seed, runs)
          .generate(
              (ended, oracleMicros) -> {
                progress.step();
                writer.write(ended, oracleMicros);
              });
    }
    return 0;
  }
}
