package madderrudder.estimates;

/** A stored page of an estimator's evidence can't be read. */
public final class MalformedPageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** What is wrong with a page. */
  public enum Reason {
    /** It was written in another version of the format. */
    UNSUPPORTED_VERSION,
    /** Its checksum does not match its content. */
    CHECKSUM_MISMATCH,
    /** It is cut short, or is no page at all. */
    INVALID_CONTENT
  }

  private final Reason reason;

  private MalformedPageException(Reason reason, String message, Throwable cause) {
    super(message, cause);
    this.reason = reason;
  }

  static MalformedPageException unsupportedVersion(byte version, byte supported) {
    return new MalformedPageException(
        Reason.UNSUPPORTED_VERSION,
        "it is of version " + version + ", only " + supported + " is supported",
        null);
  }

  static MalformedPageException checksumMismatch(long stored, long computed) {
    return new MalformedPageException(
        Reason.CHECKSUM_MISMATCH,
        String.format("its checksum is %08x, that of its content %08x", stored, computed),
        null);
  }

  static MalformedPageException invalidContent(String problem) {
    return new MalformedPageException(Reason.INVALID_CONTENT, problem, null);
  }

  static MalformedPageException invalidContent(Exception cause) {
    return new MalformedPageException(
        Reason.INVALID_CONTENT, "its content is invalid: " + cause, cause);
  }

  /** What is wrong with the page. */
  public Reason reason() {
    return reason;
  }
}
