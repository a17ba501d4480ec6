package madderrudder.protocol;

import java.util.List;

/**
 * A worker's report on its machine and tasks. The response of the leader, or of a controller that
 * answers on its behalf, renews the worker's lease.
 *
 * @param machine the machine's id
 * @param address the worker's address for direct commands; empty if it reports none
 * @param type the name of the machine's type
 * @param zone the machine's zone
 * @param spot whether it is a spot machine
 * @param epoch the number of the worker's incarnation, which the worker increases each time its
 *     lease expires
 * @param sequence the sequence number of the heartbeat within its epoch
 * @param token the highest fencing token that the worker has received; 0 if none
 * @param reclaimNoticeMicros the time until the cloud reclaims the spot machine; -1 if the cloud
 *     has given no notice
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

  /** Whether this heartbeat is newer than another: a later epoch, or a later number within it. */
  public boolean isNewerThan(long otherEpoch, long otherSequence) {
    return epoch > otherEpoch || (epoch == otherEpoch && sequence > otherSequence);
  }
}
