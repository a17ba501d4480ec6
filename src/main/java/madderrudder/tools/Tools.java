package madderrudder.tools;

import java.io.IOException;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The entry point of the tools, which run on operators' machines and not in a controller. */
@Command(
    name = "madderrudder",
    description = "Tools of the madderrudder scheduler.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "serve and check, which run a controller and judge its settings, are commands of its own jar:",
      "bin/madderrudder finds them there."
    },
    versionProvider = Tools.Version.class,
    subcommands = {HistoryCommand.class, EstimateCommand.class})
public final class Tools implements Runnable {
  @Spec private CommandSpec spec;

  /** The version in the manifest of the jar. */
  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Tools.class.getPackage().getImplementationVersion();
      return new String[] {"madderrudder " + (version == null ? "(development)" : version)};
    }
  }

  /** Fails with the list of commands, since a command is missing. */
  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /**
   * The command line of all commands. Files that can't be read or written, and controllers that
   * don't answer, are printed as one line without a stack trace; the exit code is 1 then.
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

  /** Runs the command in the arguments and exits with its code. */
  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }
}
