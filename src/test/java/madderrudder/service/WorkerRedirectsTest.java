package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of workers' leases through redirects to a leader that they can't reach,
 * and against workers that are served locally for good although the leader is reachable again.
 */
class WorkerRedirectsTest {
  private static final long SECOND_MICROS = 1_000_000;

  private final WorkerRedirects redirects = new WorkerRedirects(new SplittableRandom(1), 100);

  private boolean decideToServeLocally(String machine, String zone, long seconds) {
    return redirects.decideToServeLocally(machine, zone, seconds * SECOND_MICROS);
  }

  private void returnThreeWorkersOf(String zone) {
    for (String machine : new String[] {"m-1", "m-2", "m-3"}) {
      assertFalse(decideToServeLocally(machine, zone, 0));
      assertTrue(decideToServeLocally(machine, zone, 5));
    }
  }

  @Test
  void workerThatReturnsSoonIsServedLocallyAndLaterRedirectedAgain() {
    assertFalse(decideToServeLocally("m-1", "east", 0));
    assertTrue(decideToServeLocally("m-1", "east", 6));
    assertTrue(decideToServeLocally("m-1", "east", 25));
    assertFalse(decideToServeLocally("m-1", "east", 60));
    assertTrue(decideToServeLocally("m-1", "east", 66));
  }

  /** Such a worker had reached the leader after the first redirect. */
  @Test
  void workerThatReturnsAfterReturnWindowIsRedirected() {
    assertFalse(decideToServeLocally("m-1", "east", 0));
    assertFalse(decideToServeLocally("m-1", "east", 20));
  }

  /**
   * A first redirect to an unreachable leader would cost each worker of the zone 10 s of its lease.
   */
  @Test
  void otherWorkersOfCutOffZoneAreServedWithoutRedirect() {
    returnThreeWorkersOf("east");
    assertTrue(decideToServeLocally("m-4", "east", 6));
  }

  @Test
  void workersOfOtherZonesAreRedirected() {
    returnThreeWorkersOf("east");
    assertTrue(decideToServeLocally("m-4", "east", 6));
    assertFalse(decideToServeLocally("m-5", "west", 6));
  }

  @Test
  void zoneIsNotCutOffAfterLongTimeWithoutReturns() {
    returnThreeWorkersOf("east");
    assertTrue(decideToServeLocally("m-4", "east", 6));
    assertFalse(
        decideToServeLocally("m-6", "east", 60),
        "zone still counts as cut off 55 s after the latest return");
  }

  /** If all workers were redirected again at the same moment, they would all lose time together. */
  @Test
  void workersAreRedirectedAgainAtDifferentTimes() {
    int redirected = 0;
    for (int i = 0; i < 50; i++) {
      decideToServeLocally("m-" + i, "east", 0);
      decideToServeLocally("m-" + i, "east", 5);
    }
    for (int i = 0; i < 50; i++) {
      redirected += decideToServeLocally("m-" + i, "east", 30) ? 0 : 1;
    }
    assertTrue(redirected > 5 && redirected < 45, redirected + " of 50 workers redirected");
  }
}
