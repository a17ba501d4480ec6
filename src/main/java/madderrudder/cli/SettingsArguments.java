package madderrudder.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The options of the commands that read the settings files.
 *
 * @param configFile the path of the platform's settings file
 * @param operatorFile the path of the operators' settings file; null if the option is absent
 */
record SettingsArguments(String configFile, String operatorFile) {
  private static final String CONFIG_OPTION = "config";
  private static final String OPERATOR_OPTION = "operator";

  /**
   * Parses the arguments that follow the command.
   *
   * @throws UsageException if an argument is unknown, or a required option or a value is missing
   */
  static SettingsArguments parse(String[] arguments) throws UsageException {
    Options options = new Options();
    options.addOption(Option.builder().longOpt(CONFIG_OPTION).hasArg().required().get());
    options.addOption(Option.builder().longOpt(OPERATOR_OPTION).hasArg().get());
    CommandLine commandLine;
    try {
      commandLine =
          DefaultParser.builder().setAllowPartialMatching(false).get().parse(options, arguments);
    } catch (ParseException e) {
      throw new UsageException(e.getMessage());
    }
    if (!commandLine.getArgList().isEmpty()) {
      throw new UsageException("unexpected argument " + commandLine.getArgList().get(0));
    }
    return new SettingsArguments(
        commandLine.getOptionValue(CONFIG_OPTION), commandLine.getOptionValue(OPERATOR_OPTION));
  }
}
