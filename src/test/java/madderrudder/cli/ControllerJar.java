package madderrudder.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A packaged controller, which tests run as a process.
 *
 * @param path the jar
 */
record ControllerJar(Path path) {
  private static final Path JAVA = Path.of(System.getProperty("java.home"), "bin", "java");

  /** Starts a command of the jar. Standard output and standard error go to the output file. */
  Process start(Path output, String... arguments) throws IOException {
    List<String> command = new ArrayList<>(List.of(JAVA.toString(), "-jar", path.toString()));
    command.addAll(List.of(arguments));
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(output.toFile())
        .start();
  }
}
