package madderrudder.protocol;

import java.util.List;

/**
 * A worker's report about its machine, which also renews its lease.
 *
 * @param machine the machine's id
 * @param address the worker's address for direct commands; empty if it gives none
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether it is a spot machine
 * @param epoch the incarnation of the worker, which grows each time its lease expires
 * @param sequence the sequence number of the heartbeat in its epoch
 * @param token the highest fencing token that the worker has seen; 0 if none
 * @param reclaimNoticeMicros the time until the cloud takes the spot machine back; -1 without
 *     notice
 * @param tasks all tasks on the machine, including exited ones until they are reaped
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long epoch,
    long sequence,
    long token,
    long reclaimNoticeMicros,
    List<TaskStatus> tasks) {

  /** Whether this one is newer: it has the larger pair of epoch and sequence number. */
  public boolean newerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
