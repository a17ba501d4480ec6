package madderrudder.cli;

/** Thrown when the command line is invalid; the message is printed to the user. */
final class UsageException extends Exception {
  UsageException(String message) {
    super(message);
  }
}
