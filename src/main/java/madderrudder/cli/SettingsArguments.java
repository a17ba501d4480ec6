package madderrudder.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * The options of the commands that read the settings.
 *
 * @param configFile the file with the platform's settings
 * @param operatorFile the file with the operators' own settings; null if none was named
 */
record SettingsArguments(String configFile, String operatorFile) {
  private static final String CONFIG = "config";
  private static final String OPERATOR = "operator";

  /**
   * Reads the arguments behind the command.
   *
   * @throws UsageException if there are others, or a needed one is missing
   */
  static SettingsArguments parse(String[] arguments) throws UsageException {
    Options options = new Options();
    options.addOption(Option.builder().longOpt(CONFIG).hasArg().required().get());
    options.addOption(Option.builder().longOpt(OPERATOR).hasArg().get());
    CommandLine line;
    try {
      line = DefaultParser.builder().setAllowPartialMatching(false).get().parse(options, arguments);
    } catch (ParseException e) {
      throw new UsageException(e.getMessage());
    }
    if (!line.getArgList().isEmpty()) {
      throw new UsageException("unexpected " + line.getArgList().get(0));
    }
    return new SettingsArguments(line.getOptionValue(CONFIG), line.getOptionValue(OPERATOR));
  }
}
