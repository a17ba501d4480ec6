package madderrudder.service;

import madderrudder.protocol.MalformedMessageException;
import org.slf4j.Logger;

/** Logs the first malformed message of a kind at level info, and later ones at level debug. */
final class MalformedMessageLog {
  private final Logger log;
  private final String messageKind;
  private boolean firstLogged;

  /** Creates a log for one kind of message, which the log lines name. */
  MalformedMessageLog(Logger log, String messageKind) {
    this.log = log;
    this.messageKind = messageKind;
  }

  /** Logs a message that could not be decoded. */
  void log(MalformedMessageException cause) {
    if (firstLogged) {
      log.debug("malformed {}: {}", messageKind, cause.getMessage());
    } else {
      firstLogged = true;
      log.info("malformed {}: {} (further ones at level debug)", messageKind, cause.getMessage());
    }
  }
}
