package madderrudder.protocol;

import java.util.List;

/**
 * A worker's report about its machine, which also renews its lease.
 *
 * @param machine the machine's id
 * @param addr the worker's address for direct commands; empty if it gives none
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether it is a spot machine
 * @param session the incarnation of the worker, which grows each time its lease expires
 * @param seq the sequence number of the heartbeat in its session
 * @param token the highest fencing token that the worker has seen; 0 if none
 * @param reclaimNoticeMicros the time until the cloud takes the spot machine back; -1 without
 *     notice
 * @param tasks all tasks on the machine, including exited ones until they are reaped
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
    long reclaimNoticeMicros,
    List<TaskStatus> tasks) {

  /** Whether this one is newer: it has the larger pair of session and sequence number. */
  public boolean newerThan(long otherSession, long otherSeq) {
    return session > otherSession || (session == otherSession && seq > otherSeq);
  }
}
