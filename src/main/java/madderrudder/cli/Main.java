package madderrudder.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import madderrudder.config.InvalidSettingsException;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.policy.OperatorPolicy;

/**
 * The command line: {@code serve} runs a controller, {@code check} judges settings and ends. The
 * exit status is 0, 1 for wrong settings, or 2 for a wrong command line.
 */
public final class Main {
  private static final int OK = 0;
  private static final int FAILED = 1;
  private static final int WRONG_USAGE = 2;
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

  /** Runs the command, and ends the process with its status unless that is 0. */
  public static void main(String[] args) {
    int status = run(args, System.out, System.err);
    if (status != OK) {
      System.exit(status);
    }
  }

  /** Runs the command and returns the exit status; {@code serve} returns only if it fails. */
  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      err.print(HELP);
      return WRONG_USAGE;
    }
    String[] arguments = Arrays.copyOfRange(args, 1, args.length);
    try {
      return run(args[0], arguments, out, err);
    } catch (UsageException e) {
      err.println("madderrudder: " + e.getMessage());
      return WRONG_USAGE;
    } catch (InvalidSettingsException e) {
      e.problems().forEach(problem -> err.println("madderrudder: " + problem));
      return FAILED;
    }
  }

  private static int run(String command, String[] arguments, PrintStream out, PrintStream err)
      throws UsageException, InvalidSettingsException {
    return switch (command) {
      case "--help", "-h", "help" -> help(out);
      case "--version" -> version(out);
      case "rehearse" -> ClassPreloader.run(err);
      case "serve" -> serve(arguments);
      case "check" -> check(arguments, out);
      default -> throw new UsageException("unknown command " + command + "; see --help");
    };
  }

  private static int help(PrintStream out) {
    out.print(HELP);
    return OK;
  }

  private static int version(PrintStream out) {
    String version = Main.class.getPackage().getImplementationVersion();
    out.println("madderrudder " + (version == null ? "(development)" : version));
    return OK;
  }

  private static int serve(String[] arguments) throws UsageException, InvalidSettingsException {
    SettingsArguments files = SettingsArguments.parse(arguments);
    String logLevel = logLevel();
    PlatformSettings settings = SettingsFiles.readPlatform(files.configFile());
    OperatorPolicy policy = SettingsFiles.readOperator(files.operatorFile());
    // Has to be set before the first logger is made.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", logLevel);
    return new ServeCommand(settings, policy).run();
  }

  private static int check(String[] arguments, PrintStream out)
      throws UsageException, InvalidSettingsException {
    SettingsArguments files = SettingsArguments.parse(arguments);
    logLevel();
    PlatformSettings settings = SettingsFiles.readPlatform(files.configFile());
    SettingsFiles.readOperator(files.operatorFile());
    out.println("the settings of " + settings.member() + " are good");
    return OK;
  }

  private static String logLevel() throws UsageException {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    if (!List.of("error", "info", "debug").contains(level)) {
      throw new UsageException("LOG_LEVEL must be error, info or debug");
    }
    return level;
  }
}
