package madderrudder.coordination.heartbeat;

import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;

/** How a heartbeat compares with the reports already received from its worker. */
public enum Freshness {
  /** The heartbeat is newer than every earlier report of its worker. */
  NEW,
  /**
   * A newer report has already arrived, in the response to a direct command or as a copy of this
   * heartbeat, but the worker still waits for an answer to this heartbeat.
   */
  OVERTAKEN,
  /** The worker no longer waits for an answer to the heartbeat and would ignore one. */
  STALE;

  /** A worker ignores an answer that arrives later than this after its heartbeat. */
  private static final long ANSWER_TIMEOUT_MICROS = 4_000_000;

  /**
   * Compares a heartbeat with the reports already received from its worker. A worker has at most
   * one heartbeat in flight and drops an answer that arrives after its timeout. The worker
   * therefore ignores an answer to any periodic heartbeat but its last, and such an answer must not
   * count as a renewal of its lease.
   */
  static Freshness of(Machine machine, Heartbeat heartbeat, long nowMicros) {
    if (!machine.reported || heartbeat.isNewerThan(machine.epoch, machine.sequence)) {
      return NEW;
    }
    if (heartbeat.epoch() != machine.epoch || heartbeat.sequence() < machine.heartbeatSequence) {
      return STALE;
    }
    boolean firstArrival = heartbeat.sequence() > machine.heartbeatSequence;
    boolean workerStillWaits = nowMicros - machine.heartbeatMicros < ANSWER_TIMEOUT_MICROS;
    return firstArrival || workerStillWaits ? OVERTAKEN : STALE;
  }
}
