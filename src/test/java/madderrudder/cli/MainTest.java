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

/** The controller's command line: exit statuses, and what goes to which stream. */
class MainTest {
  @TempDir Path folder;

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

  private String file(String name, String text) throws IOException {
    return Files.writeString(folder.resolve(name), text).toString();
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
  void aWrongCommandLineEndsWithStatus2AndOneLineOfError(String line) {
    assertEquals(2, run(line.split(" ", -1)));
    assertTrue(errors().startsWith("madderrudder: "), errors());
    assertEquals(1, errors().lines().count(), errors());
    assertEquals("", output());
  }

  @Test
  void noCommandEndsWithStatus2AndTheHelpOnStandardError() {
    assertEquals(2, run());
    assertTrue(errors().startsWith("usage: madderrudder COMMAND [OPTIONS]"), errors());
    assertEquals("", output());
  }

  @ParameterizedTest
  @ValueSource(strings = {"--help", "-h", "help"})
  void theHelpGoesToStandardOutput(String command) {
    assertEquals(0, run(command));
    assertTrue(output().startsWith("usage: madderrudder COMMAND [OPTIONS]"), output());
    assertTrue(output().contains("--config FILE") && output().contains("--operator FILE"));
    assertEquals("", errors());
  }

  @Test
  void theVersionGoesToStandardOutput() {
    assertEquals(0, run("--version"));
    assertTrue(output().startsWith("madderrudder "), output());
  }

  @ParameterizedTest
  @ValueSource(strings = {"check --config FILE", "check --config=FILE"})
  void goodSettingsEndWithStatus0(String line) throws IOException {
    String config = file("good.json", SettingsTest.GOOD);
    assertEquals(0, run(line.replace("FILE", config).split(" ", -1)));
    assertEquals("the settings of n-0 are good", output().strip());
    assertEquals("", errors());
  }

  @ParameterizedTest
  @ValueSource(strings = {"check", "serve"})
  void wrongSettingsEndWithStatus1AndNameTheFile(String command) throws IOException {
    String config = file("bad.json", SettingsTest.GOOD.replace("\"member\":\"n-0\",", ""));
    assertEquals(1, run(command, "--config", config));
    assertTrue(
        errors().startsWith("madderrudder: " + config + ": member: field member is missing"),
        errors());
    assertEquals("", output());
  }

  @Test
  void aMissingFileEndsWithStatus1AndIsNamed() {
    String config = folder.resolve("absent.json").toString();
    assertEquals(1, run("check", "--config", config));
    assertTrue(errors().startsWith("madderrudder: can't read " + config), errors());
  }

  @Test
  void wrongOperatorSettingsEndWithStatus1AndNameTheFile() throws IOException {
    String config = file("good.json", SettingsTest.GOOD);
    String operator = file("bad.sexp", "(");
    assertEquals(1, run("check", "--operator", operator, "--config", config));
    assertTrue(errors().startsWith("madderrudder: " + operator + ": "), errors());
  }
}
