package madderrudder.protocol;

/**
 * The id of one task, written for example {@code req-000412/3}.
 *
 * @param job the job's id
 * @param index the task's index in its job, from 0
 */
public record TaskId(String job, int index) {
  /** The slash and the digits; more digits than these might overflow. */
  private static final int MAX_SUFFIX = 8;

  /**
   * Reads an id as {@link #toString()} writes it. The job's id is not checked.
   *
   * @throws MalformedMessageException if there is no slash, or no short number behind it
   */
  public static TaskId parse(String text) throws MalformedMessageException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > MAX_SUFFIX) {
      throw new MalformedMessageException("not a task: " + text);
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        throw new MalformedMessageException("not a task: " + text);
      }
      index = index * 10 + (c - '0');
    }
    return new TaskId(text.substring(0, slash), index);
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }
}
