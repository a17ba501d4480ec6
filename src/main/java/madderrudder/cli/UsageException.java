package madderrudder.cli;

/** A command line that can't be understood; the message says why, for the user. */
final class UsageException extends Exception {
  UsageException(String message) {
    super(message);
  }
}
