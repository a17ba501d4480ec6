package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WorkerRedirectsTest {
  private static final long SECOND = 1_000_000;

  private final WorkerRedirects detours = new WorkerRedirects(new SplittableRandom(1), 100);

  @Test
  void aWorkerThatIsSoonBackIsServedForAWhileAndThenSentAgain() {
    assertFalse(detours.serves("m-1", "east", 0));
    assertTrue(detours.serves("m-1", "east", 6 * SECOND));
    assertTrue(detours.serves("m-1", "east", 25 * SECOND));
    assertFalse(detours.serves("m-1", "east", 60 * SECOND));
    assertTrue(detours.serves("m-1", "east", 66 * SECOND));
  }

  @Test
  void aWorkerThatComesBackMuchLaterWasThere() {
    assertFalse(detours.serves("m-1", "east", 0));
    assertFalse(detours.serves("m-1", "east", 20 * SECOND));
  }

  /**
   * Sent in vain first, each worker of a zone that is apart would lose ten seconds of its lease.
   */
  @Test
  void othersOfAZoneThatIsApartAreServedAtOnce() {
    for (String machine : new String[] {"m-1", "m-2", "m-3"}) {
      assertFalse(detours.serves(machine, "east", 0));
      assertTrue(detours.serves(machine, "east", 5 * SECOND));
    }
    assertTrue(detours.serves("m-4", "east", 6 * SECOND));
    assertFalse(detours.serves("m-5", "west", 6 * SECOND));
    assertFalse(detours.serves("m-6", "east", 60 * SECOND), "nobody was back for long");
  }

  /** All sent again at the same moment, they would lose time together. */
  @Test
  void workersAreSentAgainAtDifferentTimes() {
    int sent = 0;
    for (int i = 0; i < 50; i++) {
      detours.serves("m-" + i, "east", 0);
      detours.serves("m-" + i, "east", 5 * SECOND);
    }
    for (int i = 0; i < 50; i++) {
      sent += detours.serves("m-" + i, "east", 30 * SECOND) ? 0 : 1;
    }
    assertTrue(sent > 5 && sent < 45, sent + " of 50");
  }
}
