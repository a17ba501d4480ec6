package madderrudder.coordination.heartbeat;

import static madderrudder.coordination.heartbeat.MachineFixture.EPOCH;
import static madderrudder.coordination.heartbeat.MachineFixture.SEQUENCE;
import static org.junit.jupiter.api.Assertions.assertEquals;

import madderrudder.coordination.state.Machine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against renewing a lease with an answer that its worker ignores, and against refusing a
 * heartbeat whose worker still waits for the answer.
 */
class FreshnessTest {
  private static final long ARRIVED_MICROS = 20_000_000;

  private final MachineFixture fixture = new MachineFixture();
  private final Machine machine = fixture.machine;

  /**
   * Compares a heartbeat with a machine whose last periodic heartbeat has the sequence number 3 and
   * whose newest report, the response to a direct command, has the sequence number 5.
   */
  private Freshness freshness(long epoch, long sequence, long elapsedMicros) {
    machine.epoch = EPOCH;
    machine.heartbeatSequence = SEQUENCE - 2;
    machine.heartbeatMicros = ARRIVED_MICROS;
    return Freshness.of(
        machine, fixture.heartbeat(epoch, sequence), ARRIVED_MICROS + elapsedMicros);
  }

  @ParameterizedTest
  @CsvSource({
    "3,6,9000000,NEW",
    "4,0,9000000,NEW",
    "3,5,9000000,OVERTAKEN",
    "3,4,9000000,OVERTAKEN",
    "3,3,3999999,OVERTAKEN",
    "3,3,4000000,STALE",
    "3,2,0,STALE",
    "2,9,0,STALE"
  })
  void comparesHeartbeatWithNewestReportAndLastPeriodicHeartbeat(
      long epoch, long sequence, long elapsedMicros, Freshness expected) {
    assertEquals(expected, freshness(epoch, sequence, elapsedMicros));
  }

  @Test
  void firstHeartbeatOfMachineIsNew() {
    machine.reported = false;
    assertEquals(Freshness.NEW, freshness(0, 0, 0));
  }
}
