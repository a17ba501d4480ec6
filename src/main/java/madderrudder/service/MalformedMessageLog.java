package madderrudder.service;

import madderrudder.protocol.MalformedMessageException;
import org.slf4j.Logger;

/** Logs the first malformed message of a kind at level info and further ones at level debug. */
final class MalformedMessageLog {
  private final Logger log;
  private final String kind;
  private boolean logged;

  /** Logs messages of the kind named to the log given. */
  MalformedMessageLog(Logger log, String kind) {
    this.log = log;
    this.kind = kind;
  }

  void log(MalformedMessageException cause) {
    if (logged) {
      log.debug("malformed {}: {}", kind, cause.getMessage());
    } else {
      logged = true;
      log.info("malformed {}: {} (further ones at level debug)", kind, cause.getMessage());
    }
  }
}
