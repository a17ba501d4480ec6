package madderrudder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import madderrudder.config.SettingsTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against command lines that mislead scripts and operators: invalid input that exits with
 * status 0, errors that do not name the file, and text on the wrong output stream.
 */
class MainTest {
  @TempDir Path directory;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) {
    return Main.run(
        arguments,
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8));
  }

  private String output() {
    return out.toString(StandardCharsets.UTF_8);
  }

  private String errors() {
    return err.toString(StandardCharsets.UTF_8);
  }

  private String writeFile(String name, String text) throws IOException {
    return Files.writeString(directory.resolve(name), text).toString();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "start",
        "check",
        "check --config",
        "check --operator x",
        "check --config x --operator",
        "check --config x --colour red",
        "check --conf x",
        "check --config x y",
        "check x --config x",
        "serve",
        "serve --config x --help",
      })
  void invalidCommandLineExitsWithStatus2AndOneErrorLine(String line) {
    assertEquals(2, run(line.split(" ", -1)));
    assertTrue(errors().startsWith("madderrudder: "), errors());
    assertEquals(1, errors().lines().count(), errors());
    assertEquals("", output());
  }

  @Test
  void missingCommandExitsWithStatus2AndPrintsHelpToStandardError() {
    assertEquals(2, run());
    assertTrue(errors().startsWith("usage: madderrudder COMMAND [OPTIONS]"), errors());
    assertEquals("", output());
  }

  @ParameterizedTest
  @ValueSource(strings = {"--help", "-h", "help"})
  void helpGoesToStandardOutput(String command) {
    assertEquals(0, run(command));
    assertTrue(output().startsWith("usage: madderrudder COMMAND [OPTIONS]"), output());
    assertTrue(output().contains("--config FILE") && output().contains("--operator FILE"));
    assertEquals("", errors());
  }

  @Test
  void versionGoesToStandardOutput() {
    assertEquals(0, run("--version"));
    assertTrue(output().startsWith("madderrudder "), output());
  }

  @ParameterizedTest
  @ValueSource(strings = {"check --config FILE", "check --config=FILE"})
  void validSettingsExitWithStatus0(String line) throws IOException {
    String config = writeFile("good.json", SettingsTest.VALID_PLATFORM_SETTINGS);
    assertEquals(0, run(line.replace("FILE", config).split(" ", -1)));
    assertEquals("the settings of n-0 are valid", output().strip());
    assertEquals("", errors());
  }

  @ParameterizedTest
  @ValueSource(strings = {"check", "serve"})
  void invalidSettingsExitWithStatus1AndNameFile(String command) throws IOException {
    String config =
        writeFile(
            "bad.json", SettingsTest.VALID_PLATFORM_SETTINGS.replace("\"member\":\"n-0\",", ""));
    assertEquals(1, run(command, "--config", config));
    assertTrue(
        errors().startsWith("madderrudder: " + config + ": member: field member is missing"),
        errors());
    assertEquals("", output());
  }

  @Test
  void missingFileExitsWithStatus1AndIsNamed() {
    String config = directory.resolve("absent.json").toString();
    assertEquals(1, run("check", "--config", config));
    assertTrue(errors().startsWith("madderrudder: can't read " + config), errors());
  }

  @Test
  void invalidOperatorSettingsExitWithStatus1AndNameFile() throws IOException {
    String config = writeFile("good.json", SettingsTest.VALID_PLATFORM_SETTINGS);
    String operator = writeFile("bad.sexp", "(");
    assertEquals(1, run("check", "--operator", operator, "--config", config));
    assertTrue(errors().startsWith("madderrudder: " + operator + ": "), errors());
  }
}
