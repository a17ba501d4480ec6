package madderrudder.protocol;

import java.util.Optional;

/**
 * A message whose text or fields are not what the protocol says.
 *
 * <p>{@link #getMessage()} names the field and goes into answers as it is; {@link #detail()} adds
 * the value that was wrong, for logs. There is no stack trace: malformed messages come from outside
 * and may be many.
 */
public final class MalformedMessageException extends Exception {
  private static final int MAX_VALUE_LENGTH = 80;

  private final String field;
  private final String value;

  /** A message that is malformed as a whole. */
  public MalformedMessageException(String message) {
    this(message, null, null);
  }

  private MalformedMessageException(String message, String field, String value) {
    super(message, null, false, false);
    this.field = field;
    this.value = value;
  }

  /**
   * One field is wrong.
   *
   * @param field the field's name on the wire
   * @param problem what is wrong with it, for example {@code is out of range}
   * @param value what was in its place; null if the field was absent or null
   */
  public static MalformedMessageException ofField(String field, String problem, Object value) {
    String text = value == null ? null : shortened(value.toString());
    return new MalformedMessageException("field " + field + " " + problem, field, text);
  }

  /** One field is absent, or has a value of the wrong type or out of its range. */
  static MalformedMessageException missingOrInvalid(String field, Object value) {
    return ofField(field, "is missing or invalid", value);
  }

  private static String shortened(String text) {
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }

  /** The wire name of the field that is wrong; empty if the message is malformed as a whole. */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }

  /** The value that was wrong, at most 80 characters of it; empty if there was none. */
  public Optional<String> value() {
    return Optional.ofNullable(value);
  }

  /** The message with the value that was wrong. */
  public String detail() {
    return value == null ? getMessage() : getMessage() + ": " + value;
  }
}
