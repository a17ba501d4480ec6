package madderrudder.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import madderrudder.config.InvalidSettingsException;
import madderrudder.config.MalformedSExpressionException;
import madderrudder.config.OperatorSettings;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.policy.OperatorPolicy;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** The command line: {@code serve} runs a controller, {@code check} judges settings and ends. */
public final class Main {
  private static final int USAGE = 2;
  private static final String HELP =
      """
            usage: madderrudder COMMAND [OPTIONS]

            commands:
              serve    run one controller until it is killed
              check    check the settings and say what is wrong with them
              rehearse load what serving needs and end (the build makes the class-data archive with it)

            options of serve and check:
              --config FILE      the platform's settings (JSON)
              --operator FILE    the operators' own settings (S-expression)

              --help             show this and end
              --version          show the version and end

            LOG_LEVEL in the environment is error, info (default) or debug.
            """;

  private Main() {}

  public static void main(String[] args) {
    int status = run(args, System.out, System.err);
    if (status != 0) {
      System.exit(status);
    }
  }

  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      err.print(HELP);
      return USAGE;
    }
    switch (args[0]) {
      case "--help", "-h", "help" -> {
        out.print(HELP);
        return 0;
      }
      case "--version" -> {
        String version = Main.class.getPackage().getImplementationVersion();
        out.println("madderrudder " + (version == null ? "(development)" : version));
        return 0;
      }
      case "rehearse" -> {
        return ClassPreloader.run(err);
      }
      case "serve", "check" -> {
        return withSettings(args, out, err);
      }
      default -> {
        err.println("madderrudder: unknown command " + args[0] + "; see --help");
        return USAGE;
      }
    }
  }

  private static int withSettings(String[] args, PrintStream out, PrintStream err) {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("config").hasArg().required().get());
    options.addOption(Option.builder().longOpt("operator").hasArg().get());
    CommandLine line;
    try {
      line =
          DefaultParser.builder()
              .setAllowPartialMatching(false)
              .get()
              .parse(options, Arrays.copyOfRange(args, 1, args.length));
    } catch (ParseException e) {
      err.println("madderrudder: " + e.getMessage());
      return USAGE;
    }
    if (!line.getArgList().isEmpty()) {
      err.println("madderrudder: unexpected " + line.getArgList().get(0));
      return USAGE;
    }
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    if (!List.of("error", "info", "debug").contains(level)) {
      err.println("madderrudder: LOG_LEVEL must be error, info or debug");
      return USAGE;
    }
    PlatformSettings settings;
    OperatorPolicy policy;
    try {
      settings = readSettings(line.getOptionValue("config"));
      policy = readPolicy(line.getOptionValue("operator"));
    } catch (InvalidSettingsException e) {
      e.problems().forEach(problem -> err.println("madderrudder: " + problem));
      return 1;
    }
    if (args[0].equals("check")) {
      out.println("the settings of " + settings.member() + " are good");
      return 0;
    }
    // Has to stand before the first logger is made.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    return new ServeCommand(settings, policy).run();
  }

  private static PlatformSettings readSettings(String file) throws InvalidSettingsException {
    try {
      return PlatformSettings.parse(Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw new InvalidSettingsException(List.of("can't read " + file + ": " + e.getMessage()));
    } catch (InvalidSettingsException e) {
      throw new InvalidSettingsException(
          e.problems().stream().map(problem -> file + ": " + problem).toList());
    }
  }

  private static OperatorPolicy readPolicy(String file) throws InvalidSettingsException {
    if (file == null) {
      return OperatorPolicy.defaults();
    }
    try {
      return OperatorSettings.parse(Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw new InvalidSettingsException(List.of("can't read " + file + ": " + e.getMessage()));
    } catch (MalformedSExpressionException e) {
      throw new InvalidSettingsException(List.of(file + ": " + e.getMessage()));
    }
  }
}
