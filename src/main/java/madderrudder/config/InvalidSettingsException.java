package madderrudder.config;

import java.io.Serial;
import java.util.List;

/** Settings that can't be used, with everything that is wrong with them. */
public final class InvalidSettingsException extends Exception {
  @Serial private static final long serialVersionUID = 1;

  private final List<String> problems;

  /** Creates one with at least one problem, each a line of text that names the setting. */
  public InvalidSettingsException(List<String> problems) {
    super(String.join("; ", problems));
    this.problems = List.copyOf(problems);
  }

  /** Everything that is wrong, a line each. */
  public List<String> problems() {
    return problems;
  }
}
