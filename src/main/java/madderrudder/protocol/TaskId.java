package madderrudder.protocol;

/** One task of a job, written {@code req-000412/3}. */
public record TaskId(String job, int index) {
  public static TaskId parse(String text) throws MalformedMessageException {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 8) {
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
