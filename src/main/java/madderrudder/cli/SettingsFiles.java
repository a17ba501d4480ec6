package madderrudder.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import madderrudder.config.InvalidSettingsException;
import madderrudder.config.MalformedSExpressionException;
import madderrudder.config.OperatorSettings;
import madderrudder.config.PlatformSettings;
import madderrudder.coordination.policy.OperatorPolicy;

/** Reads the files of the settings; each problem is told with the name of its file. */
final class SettingsFiles {
  private SettingsFiles() {}

  /**
   * Reads the platform's settings.
   *
   * @throws InvalidSettingsException if the file can't be read, or with all that is wrong in it
   */
  static PlatformSettings readPlatform(String file) throws InvalidSettingsException {
    try {
      return PlatformSettings.parse(Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw unreadable(file, e);
    } catch (InvalidSettingsException e) {
      throw new InvalidSettingsException(
          e.problems().stream().map(problem -> file + ": " + problem).toList());
    }
  }

  /**
   * Reads the operators' own settings; the defaults if no file is given.
   *
   * @throws InvalidSettingsException if the file can't be read, or with what is wrong in it
   */
  static OperatorPolicy readOperator(String file) throws InvalidSettingsException {
    if (file == null) {
      return OperatorPolicy.defaults();
    }
    try {
      return OperatorSettings.parse(Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw unreadable(file, e);
    } catch (MalformedSExpressionException e) {
      throw new InvalidSettingsException(List.of(file + ": " + e.getMessage()));
    }
  }

  private static InvalidSettingsException unreadable(String file, IOException cause) {
    return new InvalidSettingsException(List.of("can't read " + file + ": " + cause.getMessage()));
  }
}
