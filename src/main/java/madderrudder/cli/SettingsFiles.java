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

/** Reads the settings files and adds the name of the file to each problem found. */
final class SettingsFiles {
  private SettingsFiles() {}

  /**
   * Reads the platform's settings.
   *
   * @throws InvalidSettingsException if the file can't be read, or has invalid settings; lists all
   *     problems found
   */
  static PlatformSettings readPlatform(String file) throws InvalidSettingsException {
    try {
      return PlatformSettings.parse(Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw unreadableFile(file, e);
    } catch (InvalidSettingsException e) {
      throw new InvalidSettingsException(
          e.problems().stream().map(problem -> file + ": " + problem).toList());
    }
  }

  /**
   * Reads the operators' settings.
   *
   * @param file the path of the file; null for the defaults
   * @throws InvalidSettingsException if the file can't be read or is invalid; holds the first
   *     problem found
   */
  static OperatorPolicy readOperator(String file) throws InvalidSettingsException {
    if (file == null) {
      return OperatorPolicy.defaults();
    }
    try {
      return OperatorSettings.parse(Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw unreadableFile(file, e);
    } catch (MalformedSExpressionException e) {
      throw new InvalidSettingsException(List.of(file + ": " + e.getMessage()));
    }
  }

  private static InvalidSettingsException unreadableFile(String file, IOException cause) {
    return new InvalidSettingsException(List.of("can't read " + file + ": " + cause.getMessage()));
  }
}
