package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WriteRateAllocatorTest {
  private static final long SECOND = 1_000_000;

  /**
   * Everybody came to one controller, which had a third of the writes, and the others' went unused.
   */
  @Test
  void whoseUsersWantMoreGetsMore() {
    WriteRateAllocator busy = new WriteRateAllocator(9, 3);
    for (int i = 0; i < 20; i++) {
      busy.wanted(100);
    }
    assertEquals(3, busy.perSecond(SECOND), 0.01);
    busy.heard("n-1", 0, SECOND);
    busy.heard("n-2", 0, SECOND);
    assertTrue(busy.perSecond(SECOND) > 8.5);
    busy.lent(12, SECOND);
    assertTrue(busy.perSecond(SECOND) > 20);
    assertEquals(3, busy.perSecond(10 * SECOND), 0.01);
  }

  /** Whatever is wanted and whoever is heard, the shares never exceed what there is. */
  @Test
  void sharesNeverExceedWhatThereIs() {
    SplittableRandom random = new SplittableRandom(3);
    for (int round = 0; round < 200; round++) {
      WriteRateAllocator[] nodes = new WriteRateAllocator[3];
      for (int i = 0; i < 3; i++) {
        nodes[i] = new WriteRateAllocator(9, 3);
        nodes[i].wanted(random.nextDouble(50));
      }
      boolean cut = random.nextBoolean();
      double sum = 0;
      for (int i = 0; i < 3; i++) {
        for (int j = 0; j < 3; j++) {
          if (i != j && !(cut && (i == 2 || j == 2))) {
            nodes[i].heard("n-" + j, nodes[j].wanted(), SECOND);
          }
        }
        sum += nodes[i].perSecond(SECOND);
      }
      assertTrue(sum <= 9.0001, sum + " of 9");
    }
  }
}
