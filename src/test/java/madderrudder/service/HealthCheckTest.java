package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HashMap;
import java.util.Map;
import madderrudder.service.PeerStatusExchange.PeerStatus;
import madderrudder.transport.ManualClock;
import madderrudder.transport.Scheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against a controller that reports itself healthy while another one could serve its users,
 * and against all controllers reporting themselves unhealthy during an outage of the store, which
 * would keep users away after it.
 */
class HealthCheckTest {
  private static final long NOW_MICROS = 100_000_000;
  private static final Scheduler CLOCK = new ManualClock(NOW_MICROS);

  /**
   * Each peer is given as the age of its latest status in ms, followed by + if the store responds
   * to that peer.
   */
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
  void isUnhealthyOnlyWithoutCatalogOrIfPeersMayServeUsersBetter(
      boolean catalogKnown, boolean storeResponsive, String peerList, boolean healthy) {
    Map<String, PeerStatus> peerStatuses = new HashMap<>();
    for (String peer : peerList == null ? new String[0] : peerList.split(" ")) {
      long ageMicros = 1000 * Long.parseLong(peer.replace("+", ""));
      peerStatuses.put(
          "n-" + peerStatuses.size(), new PeerStatus(peer.endsWith("+"), NOW_MICROS - ageMicros));
    }
    HealthCheck check =
        new HealthCheck(CLOCK, () -> catalogKnown, () -> storeResponsive, peerStatuses);
    assertEquals(healthy, check.isHealthy());
  }
}
