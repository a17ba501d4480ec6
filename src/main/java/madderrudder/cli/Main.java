package madderrudder.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import madderrudder.config.InvalidSettingsException;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.policy.OperatorPolicy;

/**
 * The entry point of the controller: {@code serve} runs a controller, {@code check} validates
 * settings, {@code rehearse} loads the classes for the class-data archive. The exit status is 0 on
 * success, 1 if settings are invalid or the command failed, and 2 if the command line is invalid.
 */
public final class Main {
  private static final int SUCCESS = 0;
  private static final int FAILURE = 1;
  private static final int USAGE_ERROR = 2;
  private static final String HELP =
      """
            usage: madderrudder COMMAND [OPTIONS]

            commands:
              serve    run one controller until it is killed
              check    check the settings and print the problems found
              rehearse load all classes and exit (the build records the class-data archive from this run)

            options of serve and check:
              --config FILE      the platform's settings (JSON)
              --operator FILE    the operators' settings (S-expression); defaults if absent

              --help             print this help and exit
              --version          print the version and exit

            environment: LOG_LEVEL is error, info (default) or debug.
            """;

  private Main() {}

  /** Runs the command and, unless its status is 0, ends the process with that exit status. */
  public static void main(String[] args) {
    int status = run(args, System.out, System.err);
    if (status != SUCCESS) {
      System.exit(status);
    }
  }

  /**
   * Runs the command and returns the exit status; {@code serve} returns only if the controller
   * fails to start or its event loop is shut down.
   */
  static int run(String[] args, PrintStream out, PrintStream err) {
    if (args.length == 0) {
      err.print(HELP);
      return USAGE_ERROR;
    }
    String[] arguments = Arrays.copyOfRange(args, 1, args.length);
    try {
      return runCommand(args[0], arguments, out, err);
    } catch (UsageException e) {
      err.println("madderrudder: " + e.getMessage());
      return USAGE_ERROR;
    } catch (InvalidSettingsException e) {
      e.problems().forEach(problem -> err.println("madderrudder: " + problem));
      return FAILURE;
    }
  }

  private static int runCommand(
      String command, String[] arguments, PrintStream out, PrintStream err)
      throws UsageException, InvalidSettingsException {
    return switch (command) {
      case "--help", "-h", "help" -> printHelp(out);
      case "--version" -> printVersion(out);
      case "rehearse" -> ClassPreloader.run(err);
      case "serve" -> serve(arguments);
      case "check" -> check(arguments, out);
      default -> throw new UsageException("unknown command " + command + "; see --help");
    };
  }

  private static int printHelp(PrintStream out) {
    out.print(HELP);
    return SUCCESS;
  }

  private static int printVersion(PrintStream out) {
    String version = Main.class.getPackage().getImplementationVersion();
    out.println("madderrudder " + (version == null ? "(development)" : version));
    return SUCCESS;
  }

  private static int serve(String[] arguments) throws UsageException, InvalidSettingsException {
    SettingsArguments files = SettingsArguments.parse(arguments);
    String logLevel = readLogLevel();
    PlatformSettings settings = SettingsFiles.readPlatform(files.configFile());
    OperatorPolicy policy = SettingsFiles.readOperator(files.operatorFile());
    // slf4j-simple reads this property once, when the first logger is created.
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", logLevel);
    return new ServeCommand(settings, policy).run();
  }

  private static int check(String[] arguments, PrintStream out)
      throws UsageException, InvalidSettingsException {
    SettingsArguments files = SettingsArguments.parse(arguments);
    readLogLevel();
    PlatformSettings settings = SettingsFiles.readPlatform(files.configFile());
    SettingsFiles.readOperator(files.operatorFile());
    out.println("the settings of " + settings.memberName() + " are valid");
    return SUCCESS;
  }

  private static String readLogLevel() throws UsageException {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
    if (!List.of("error", "info", "debug").contains(level)) {
      throw new UsageException("LOG_LEVEL must be error, info or debug");
    }
    return level;
  }
}
