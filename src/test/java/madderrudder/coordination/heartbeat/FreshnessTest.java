package madderrudder.coordination.heartbeat;

import static madderrudder.coordination.heartbeat.MachineFixture.SEQ;
import static madderrudder.coordination.heartbeat.MachineFixture.SESSION;
import static org.junit.jupiter.api.Assertions.assertEquals;

import madderrudder.coordination.state.Machine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FreshnessTest {
  private static final long ARRIVED_MICROS = 20_000_000;

  private final MachineFixture fixture = new MachineFixture();
  private final Machine machine = fixture.machine;

  /** The last heartbeat sent by itself was number 3; a response to a command was number 5. */
  private Freshness freshness(long epoch, long sequence, long afterMicros) {
    machine.epoch = SESSION;
    machine.heartbeatSequence = SEQ - 2;
    machine.heartbeatMicros = ARRIVED_MICROS;
    return Freshness.of(machine, fixture.heartbeat(epoch, sequence), ARRIVED_MICROS + afterMicros);
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
  void aHeartbeatIsComparedWithTheNewestReportAndTheLastHeartbeat(
      long epoch, long sequence, long afterMicros, Freshness expected) {
    assertEquals(expected, freshness(epoch, sequence, afterMicros));
  }

  @Test
  void theFirstHeartbeatOfAMachineIsNew() {
    machine.reported = false;
    assertEquals(Freshness.NEW, freshness(0, 0, 0));
  }
}
