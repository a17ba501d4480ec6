package madderrudder.protocol;

import java.util.List;

/**
 * What a worker says of its machine. {@code noticeMicros} is -1 unless the cloud takes it away
 * soon.
 */
public record Heartbeat(
    String machine,
    String addr,
    String type,
    String zone,
    boolean spot,
    long session,
    long seq,
    long token,
    long noticeMicros,
    List<TaskStatus> tasks) {

  /** The message with the larger (session, seq) is the newer one. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }
}
