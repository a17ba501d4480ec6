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

/** The commands that write histories of task runs: collected from the controllers, or generated. */
@Command(
    name = "history",
    description = "Collect or generate histories of task runs.",
    mixinStandardHelpOptions = true)
final class HistoryCommand implements Runnable {
  @Spec private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(
        spec.commandLine(), "missing command, expected export or generate");
  }

  @Command(
      name = "export",
      mixinStandardHelpOptions = true,
      description = "Write the latest task runs (up to 4,000) recorded by the current leader.")
  int export(
      @Option(
              names = "--from",
              required = true,
              split = ",",
              paramLabel = "URL",
              description =
                  "Addresses of the controllers, such as http://127.0.0.1:7400; the leader answers.")
          List<URI> controllers,
      @Mixin OutputOptions output,
      @Option(
              names = "--after",
              defaultValue = "0",
              paramLabel = "N",
              description = "Skip the runs up to number N of the current leader.")
          long after,
      @Option(
              names = "--term",
              defaultValue = "" + HistoryClient.UNKNOWN_TERM,
              paramLabel = "TERM",
              description =
                  "Apply --after only to the leader of this term, and skip nothing of another one.")
          long term,
      @Option(
              names = "--follow",
              paramLabel = "SECONDS",
              defaultValue = "0",
              description = "Repeat the export at this interval until interrupted; 0 exports once.")
          int followSeconds)
      throws IOException, InterruptedException {
    HistoryClient client = new HistoryClient(controllers, term, after);
    PrintStream err = System.err;
    try (Writer out = output.open()) {
      HistoryWriter writer = new HistoryWriter(out, output.format(), false);
      do {
        collectAll(client, writer, followSeconds > 0, err);
        out.flush();
        Thread.sleep(1000L * followSeconds);
      } while (followSeconds > 0);
      err.println(
          writer.writtenRuns()
              + " runs written, "
              + client.missedRuns()
              + " dropped by leaders before they were collected; continue with --after "
              + client.lastRunNumber()
              + " --term "
              + client.leaderTerm());
    }
    return 0;
  }

  /**
   * Collects until there are no new runs. In follow mode, a failure is printed and the command goes
   * on: there may be no leader for a while, and the leader still has the latest runs when they are
   * collected after the next interval.
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
      description = "Generate a synthetic history; the same seed gives the same history.")
  int generate(
      @Option(
              names = "--seed",
              defaultValue = "1",
              paramLabel = "N",
              description = "Seed of the random draws (default: ${DEFAULT-VALUE}).")
          long seed,
      @Option(
              names = "--runs",
              defaultValue = "50000",
              paramLabel = "N",
              description = "Number of runs (default: ${DEFAULT-VALUE}).")
          long runs,
      @Mixin OutputOptions output)
      throws IOException {
    if (runs < 1) {
      throw new ParameterException(spec.commandLine(), "--runs must be at least 1");
    }
    ProgressPrinter progress = new ProgressPrinter(System.err, "runs generated");
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
