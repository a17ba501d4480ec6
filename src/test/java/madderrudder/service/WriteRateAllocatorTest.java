package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WriteRateAllocatorTest {
  private static final long SECOND = 1_000_000;
  private static final double RATE = 9;
  private static final int MEMBERS = 3;

  private final WriteRateAllocator busy = new WriteRateAllocator(RATE, MEMBERS);

  @BeforeEach
  void usersWantMuchHere() {
    for (int i = 0; i < 20; i++) {
      busy.recordDemand(100);
    }
  }

  private void peersHaveNoDemand() {
    busy.recordPeerDemand("n-1", 0, SECOND);
    busy.recordPeerDemand("n-2", 0, SECOND);
  }

  @Test
  void withoutNewsOfThePeersTheShareIsEqual() {
    assertEquals(3, busy.sharePerSecond(SECOND), 0.01);
  }

  /**
   * Everybody came to one controller, which had a third of the writes, and the others' went unused.
   */
  @Test
  void aControllerWhoseUsersWantMoreGetsMore() {
    assertEquals(3, busy.sharePerSecond(SECOND), 0.01);
    peersHaveNoDemand();
    assertTrue(busy.sharePerSecond(SECOND) > 8.5);
  }

  @Test
  void whatTheLeaderLeavesOverIsSharedToo() {
    peersHaveNoDemand();
    busy.recordSpare(12, SECOND);
    assertTrue(busy.sharePerSecond(SECOND) > 20);
  }

  @Test
  void newsIsForgottenAfterAWhile() {
    peersHaveNoDemand();
    busy.recordSpare(12, SECOND);
    assertEquals(3, busy.sharePerSecond(10 * SECOND), 0.01);
  }

  /** Whatever is wanted and whoever is heard. */
  @Test
  void sharesNeverExceedTheRateTogether() {
    SplittableRandom random = new SplittableRandom(3);
    for (int round = 0; round < 200; round++) {
      double sum = sumOfShares(random);
      assertTrue(sum <= RATE + 0.0001, sum + " of " + RATE);
    }
  }

  /** The shares of three controllers with random demands, the third of which may be cut off. */
  private static double sumOfShares(SplittableRandom random) {
    WriteRateAllocator[] nodes = new WriteRateAllocator[MEMBERS];
    for (int i = 0; i < MEMBERS; i++) {
      nodes[i] = new WriteRateAllocator(RATE, MEMBERS);
      nodes[i].recordDemand(random.nextDouble(50));
    }
    boolean cut = random.nextBoolean();
    double sum = 0;
    for (int i = 0; i < MEMBERS; i++) {
      for (int j = 0; j < MEMBERS; j++) {
        if (i != j && !(cut && (i == 2 || j == 2))) {
          nodes[i].recordPeerDemand("n-" + j, nodes[j].demandPerSecond(), SECOND);
        }
      }
      sum += nodes[i].sharePerSecond(SECOND);
    }
    return sum;
  }
}
