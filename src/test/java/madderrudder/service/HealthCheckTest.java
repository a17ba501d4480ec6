package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import madderrudder.service.PeerStatusExchange.PeerStatus;
import madderrudder.transport.ManualClock;
import madderrudder.transport.Scheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class HealthCheckTest {
  private static final long NOW_MICROS = 100_000_000;
  private static final Scheduler CLOCK = new ManualClock(NOW_MICROS);

  /** Peers are given as how long ago each was heard in ms, with + if the store answered it. */
  @ParameterizedTest
  @CsvSource(
      nullValues = "-",
      value = {
        "false, true, -, false",
        "true, true, -, true",
        "true, true, 9000+, true",
        "true, false, -, true",
        "true, false, 100+, false",
        "true, false, 100, true",
        "true, false, 100 100+, false",
        "true, false, 9000, false",
        "true, false, 9000+, false",
        "true, false, 100 9000+, true"
      })
  void usersAreSentElsewhereOnlyIfThatHelpsThem(
      boolean catalogKnown, boolean storeAnswers, String heardPeers, boolean healthy) {
    Map<String, PeerStatus> peers = new HashMap<>();
    for (String peer : heardPeers == null ? new String[0] : heardPeers.split(" ")) {
      long agoMicros = 1000 * Long.parseLong(peer.replace("+", ""));
      peers.put("n-" + peers.size(), new PeerStatus(peer.endsWith("+"), NOW_MICROS - agoMicros));
    }
    HealthCheck check = new HealthCheck(CLOCK, () -> catalogKnown, () -> storeAnswers, peers);
    assertEquals(healthy, check.healthy());
  }
}
