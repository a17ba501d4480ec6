package madderrudder.tools;

import java.io.PrintWriter;

/** Runs a command of the tools inside a test. */
public final class ToolsRunner {
  private ToolsRunner() {}

  public static int run(PrintWriter out, PrintWriter err, String... arguments) {
    return Tools.commandLine().setOut(out).setErr(err).execute(arguments);
  }
}
