package madderrudder.tools;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The entry point of the tools, which run on an operator's machine and not in a controller. */
@Command(
    name = "madderrudder",
    description = "Tools of the madderrudder scheduler.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "The commands serve, check and rehearse are in the jar of the controller;",
      "bin/madderrudder runs each command from its jar."
    },
    versionProvider = Tools.Version.class,
    subcommands = {HistoryCommand.class, EstimateCommand.class})
public final class Tools implements Runnable {
  @Spec private CommandSpec spec;

  /** Returns the version from the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Tools.class.getPackage().getImplementationVersion();
      return new String[] {"madderrudder " + (version == null ? "(development)" : version)};
    }
  }

  /** Reports a usage error, because no command is given. */
  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "missing command");
  }

  /**
   * Returns the command line with all commands. An I/O error, such as an unreadable file or no
   * answer from the controllers, is printed as one line without a stack trace, and the exit status
   * is 1.
   */
  static CommandLine commandLine() {
    return new CommandLine(new Tools())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (failure, line, result) -> {
              if (failure instanceof IOException) {
                line.getErr().println("madderrudder: " + failure.getMessage());
                return 1;
              }
              throw failure;
            });
  }

  /** Runs the command in the arguments, and exits with its status. */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }
}
