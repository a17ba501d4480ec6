package madderrudder.tools;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.IVersionProvider;

/** The commands that run on ordinary machines, beside the controllers. */
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
  @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

  static final class Version implements IVersionProvider {
    @Override
    public String[] getVersion() {
      String version = Tools.class.getPackage().getImplementationVersion();
      return new String[] {"madderrudder " + (version == null ? "(development)" : version)};
    }
  }

  /** Without a command there is nothing to do: says which there are. */
  @Override
  public void run() {
    throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
  }

  /**
   * Files that can't be read or written, and controllers that don't answer, are told in a line, not
   * with a stack.
   */
  static CommandLine commandLine() {
    return new CommandLine(new Tools())
        .setCaseInsensitiveEnumValuesAllowed(true)
        .setExecutionExceptionHandler(
            (failure, line, result) -> {
              if (failure instanceof java.io.IOException) {
                line.getErr().println("madderrudder: " + failure.getMessage());
                return 1;
              }
              throw failure;
            });
  }

  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }
}
