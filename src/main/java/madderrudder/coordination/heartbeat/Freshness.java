package madderrudder.coordination.heartbeat;

import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;

/** How a heartbeat relates to what is already known of its worker. */
public enum Freshness {
  /** It is newer than anything known of its worker. */
  NEW,
  /**
   * The response to a direct command has overtaken it: it says nothing new, but its worker still
   * waits for an answer to it.
   */
  OVERTAKEN,
  /** Its worker has moved on since and ignores any answer to it. */
  STALE;

  /** A worker ignores answers that come later than this after its heartbeat. */
  private static final long ANSWER_TIMEOUT_MICROS = 4_000_000;

  /**
   * Compares a heartbeat with what is known of its worker. A worker has one heartbeat under way at
   * a time and drops an answer that comes after its timeout. An answer to an older heartbeat than
   * the last it sent by itself reaches nobody, and must not count as a renewal of its lease.
   */
  static Freshness of(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (!machine.reported || heartbeat.newerThan(machine.epoch, machine.sequence)) {
      return NEW;
    }
    if (heartbeat.epoch() != machine.epoch || heartbeat.sequence() < machine.heartbeatSequence) {
      return STALE;
    }
    boolean firstArrival = heartbeat.sequence() > machine.heartbeatSequence;
    boolean awaited = nowMicros - machine.heartbeatMicros < ANSWER_TIMEOUT_MICROS;
    return firstArrival || awaited ? OVERTAKEN : STALE;
  }
}
