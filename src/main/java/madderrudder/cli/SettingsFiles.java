package madderrudder.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import madderrudder.config.OperatorSettings;
import madderrudder.config.PlatformSettings;
import madderrudder.config.SExpression;
import madderrudder.coordination.policy.OperatorPolicy;

/** Reads the files of the settings; each problem is told with the name of its file. */
final class SettingsFiles {
  private SettingsFiles() {}

  /**
   * Reads the platform's settings.
   *
   * @throws PlatformSettings.Invalid if the file can't be read, or with all that is wrong in it
   */
  static PlatformSettings readPlatform(String file) throws PlatformSettings.Invalid {
    try {
      return PlatformSettings.parse(Files.readAllBytes(Path.of(file)));
    } catch (IOException e) {
      throw unreadable(file, e);
    } catch (PlatformSettings.Invalid e) {
      throw new PlatformSettings.Invalid(
          e.problems().stream().map(problem -> file + ": " + problem).toList());
    }
  }

  /**
   * Reads the operators' own settings; the defaults if no file is given.
   *
   * @throws PlatformSettings.Invalid if the file can't be read, or with what is wrong in it
   */
  static OperatorPolicy readOperator(String file) throws PlatformSettings.Invalid {
    if (file == null) {
      return OperatorPolicy.defaults();
    }
    try {
      return OperatorSettings.parse(Files.readString(Path.of(file)));
    } catch (IOException e) {
      throw unreadable(file, e);
    } catch (SExpression.Malformed e) {
      throw new PlatformSettings.Invalid(List.of(file + ": " + e.getMessage()));
    }
  }

  private static PlatformSettings.Invalid unreadable(String file, IOException cause) {
    return new PlatformSettings.Invalid(List.of("can't read " + file + ": " + cause.getMessage()));
  }
}
