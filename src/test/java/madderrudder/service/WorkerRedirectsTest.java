package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WorkerRedirectsTest {
  private static final long SECOND = 1_000_000;

  private final WorkerRedirects redirects = new WorkerRedirects(new SplittableRandom(1), 100);

  private boolean isServedHere(String machine, String zone, long seconds) {
    return redirects.isServedHere(machine, zone, seconds * SECOND);
  }

  private void threeWorkersReturnFrom(String zone) {
    for (String machine : new String[] {"m-1", "m-2", "m-3"}) {
      assertFalse(isServedHere(machine, zone, 0));
      assertTrue(isServedHere(machine, zone, 5));
    }
  }

  @Test
  void aWorkerThatReturnsSoonIsServedForAWhileAndThenRedirectedAgain() {
    assertFalse(isServedHere("m-1", "east", 0));
    assertTrue(isServedHere("m-1", "east", 6));
    assertTrue(isServedHere("m-1", "east", 25));
    assertFalse(isServedHere("m-1", "east", 60));
    assertTrue(isServedHere("m-1", "east", 66));
  }

  @Test
  void aWorkerThatReturnsMuchLaterHadReachedTheLeader() {
    assertFalse(isServedHere("m-1", "east", 0));
    assertFalse(isServedHere("m-1", "east", 20));
  }

  /** Redirected in vain first, each worker of the zone would lose ten seconds of its lease. */
  @Test
  void othersOfAZoneThatIsCutOffAreServedAtOnce() {
    threeWorkersReturnFrom("east");
    assertTrue(isServedHere("m-4", "east", 6));
  }

  @Test
  void otherZonesThanTheOneCutOffAreRedirected() {
    threeWorkersReturnFrom("east");
    assertTrue(isServedHere("m-4", "east", 6));
    assertFalse(isServedHere("m-5", "west", 6));
  }

  @Test
  void aZoneIsNoLongerTakenForCutOffOnceNobodyReturnedForLong() {
    threeWorkersReturnFrom("east");
    assertTrue(isServedHere("m-4", "east", 6));
    assertFalse(isServedHere("m-6", "east", 60), "nobody returned for long");
  }

  /** All redirected again at the same moment, they would lose time together. */
  @Test
  void workersAreRedirectedAgainAtDifferentTimes() {
    int redirected = 0;
    for (int i = 0; i < 50; i++) {
      isServedHere("m-" + i, "east", 0);
      isServedHere("m-" + i, "east", 5);
    }
    for (int i = 0; i < 50; i++) {
      redirected += isServedHere("m-" + i, "east", 30) ? 0 : 1;
    }
    assertTrue(redirected > 5 && redirected < 45, redirected + " of 50");
  }
}
