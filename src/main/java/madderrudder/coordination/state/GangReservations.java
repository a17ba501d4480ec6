package madderrudder.coordination.state;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tracks since when waiting gangs need the free capacity of machines, and limits how long they may
 * reserve it. A gang can't tell when the last of its machines will become free, so without the
 * limit all later jobs might wait beside reserved machines for as long as it does. Times are in
 * microseconds of the leader's monotonic clock. Confined to the event loop thread.
 */
public final class GangReservations {
  /**
   * How long a machine may be reserved. Users consider a job neglected after it has waited beside
   * free capacity for 90 s, of which headroom may have been withheld from it for 60 s.
   */
  private static final long MAX_RESERVATION_MICROS = 25_000_000;

  private final Map<Machine, Long> neededSinceMicros = new HashMap<>();

  /** Creates reservations of a leader that has planned no round yet. */
  GangReservations() {}

  /**
   * Whether the free capacity of the machine may be reserved for a waiting gang. Once it may not,
   * it remains available to other jobs until none of it is left that a gang could use.
   */
  public boolean mayReserve(Machine machine, long nowMicros) {
    return nowMicros - neededSinceMicros.getOrDefault(machine, nowMicros) < MAX_RESERVATION_MICROS;
  }

  /** Records the machines whose free capacity waiting gangs needed in the latest planning round. */
  public void recordRound(Set<Machine> needed, long nowMicros) {
    neededSinceMicros.keySet().retainAll(needed);
    needed.forEach(machine -> neededSinceMicros.putIfAbsent(machine, nowMicros));
  }

  /** The machines whose free capacity gangs needed in the latest planning round. */
  public Set<Machine> needed() {
    return neededSinceMicros.keySet();
  }
}
