package madderrudder.protocol;

/**
 * The id of one task, written as {@code req-000412/3}.
 *
 * @param job the job's id
 * @param index the task's index in its job, from 0
 */
public record TaskId(String job, int index) {
  /** The largest length of the slash and the index; a longer index might overflow an int. */
  private static final int MAX_SUFFIX_LENGTH = 8;

  /**
   * Parses an id in the form that {@link #toString()} writes. The job's id is not validated.
   *
   * @throws MalformedMessageException if the text is not a job id, a slash and 1 to 7 digits
   */
  public static TaskId parse(String text) throws MalformedMessageException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > MAX_SUFFIX_LENGTH) {
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
