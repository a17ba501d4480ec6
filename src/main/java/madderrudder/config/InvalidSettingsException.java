package madderrudder.config;

import java.io.Serial;
import java.util.List;

/** Thrown when settings are invalid or can't be read; lists all problems that were found. */
public final class InvalidSettingsException extends Exception {
  @Serial private static final long serialVersionUID = 1;

  private final List<String> problems;

  /** Creates an exception from one or more problems, each a line of text. */
  public InvalidSettingsException(List<String> problems) {
    super(String.join("; ", problems));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems, one line of text each. */
  public List<String> problems() {
    return problems;
  }
}
