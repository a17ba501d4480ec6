package madderrudder.protocol;

import java.util.Optional;

/**
 * Thrown when the text or a field of a message does not conform to the protocol.
 *
 * <p>{@link #getMessage()} names the field and is copied into error responses; {@link #detail()}
 * also includes the invalid value. The exception has no stack trace, because malformed messages
 * come from outside and may arrive in large numbers.
 */
public final class MalformedMessageException extends Exception {
  private static final int MAX_VALUE_LENGTH = 80;

  private final String field;
  private final String value;

  /** Creates an exception for a message that is malformed as a whole. */
  public MalformedMessageException(String message) {
    this(message, null, null);
  }

  private MalformedMessageException(String message, String field, String value) {
    super(message, null, false, false);
    this.field = field;
    this.value = value;
  }

  /**
   * Creates an exception for one invalid field.
   *
   * @param field the field's name on the wire
   * @param problem the problem, worded to follow the field's name, such as {@code is out of range}
   * @param value the field's value; null if the field was absent or null
   */
  public static MalformedMessageException ofField(String field, String problem, Object value) {
    String text = value == null ? null : truncate(value.toString());
    return new MalformedMessageException("field " + field + " " + problem, field, text);
  }

  /** Creates an exception for a field that is absent, has the wrong type or is out of range. */
  static MalformedMessageException missingOrInvalid(String field, Object value) {
    return ofField(field, "is missing or invalid", value);
  }

  private static String truncate(String text) {
    return text.length() <= MAX_VALUE_LENGTH ? text : text.substring(0, MAX_VALUE_LENGTH) + "...";
  }

  /** The wire name of the invalid field; empty if the message is malformed as a whole. */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }

  /** The invalid value, truncated after 80 characters; empty if the field was absent or null. */
  public Optional<String> value() {
    return Optional.ofNullable(value);
  }

  /** The message followed by the invalid value, if there is one. */
  public String detail() {
    return value == null ? getMessage() : getMessage() + ": " + value;
  }
}
