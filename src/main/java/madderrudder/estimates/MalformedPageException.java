package madderrudder.estimates;

/** Thrown if a stored page of an estimator's evidence is malformed. */
public final class MalformedPageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The kinds of malformed pages. */
  public enum Reason {
    /** The page has an unsupported format version. */
    UNSUPPORTED_VERSION,
    /** The checksum does not match the content. */
    CHECKSUM_MISMATCH,
    /** The page is truncated or has invalid content. */
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
        "unsupported page version " + version + ", expected " + supported,
        null);
  }

  static MalformedPageException checksumMismatch(long stored, long computed) {
    return new MalformedPageException(
        Reason.CHECKSUM_MISMATCH,
        String.format("checksum mismatch: stored %08x, computed %08x", stored, computed),
        null);
  }

  static MalformedPageException invalidContent(String problem) {
    return new MalformedPageException(Reason.INVALID_CONTENT, problem, null);
  }

  static MalformedPageException invalidContent(Exception cause) {
    return new MalformedPageException(
        Reason.INVALID_CONTENT, "invalid page content: " + cause, cause);
  }

  /** The reason why the page is malformed. */
  public Reason reason() {
    return reason;
  }
}
