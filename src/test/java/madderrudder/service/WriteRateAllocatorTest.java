package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against write rate that lies idle on controllers without users while the users of another
 * controller are refused, and against shares that together exceed the store's rate.
 */
class WriteRateAllocatorTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final double USER_WRITES_PER_SECOND = 9;
  private static final int MEMBERS = 3;

  private final WriteRateAllocator allocator =
      new WriteRateAllocator(USER_WRITES_PER_SECOND, MEMBERS);

  @BeforeEach
  void recordHighLocalDemand() {
    for (int i = 0; i < 20; i++) {
      allocator.recordLocalDemand(100);
    }
  }

  private void recordIdlePeers() {
    allocator.recordPeerDemand("n-1", 0, SECOND_MICROS);
    allocator.recordPeerDemand("n-2", 0, SECOND_MICROS);
  }

  @Test
  void shareIsEqualWithoutReportsOfPeers() {
    assertEquals(3, allocator.localSharePerSecond(SECOND_MICROS), 0.01);
  }

  /**
   * With equal shares, a controller that all users connected to had a third of the write rate, and
   * the shares of the others were unused.
   */
  @Test
  void controllerWithMoreDemandGetsLargerShare() {
    assertEquals(3, allocator.localSharePerSecond(SECOND_MICROS), 0.01);
    recordIdlePeers();
    assertTrue(allocator.localSharePerSecond(SECOND_MICROS) > 8.5);
  }

  @Test
  void spareRateOfLeaderIsShared() {
    recordIdlePeers();
    allocator.recordSpare(12, SECOND_MICROS);
    assertTrue(allocator.localSharePerSecond(SECOND_MICROS) > 20);
  }

  @Test
  void staleReportsAreIgnored() {
    recordIdlePeers();
    allocator.recordSpare(12, SECOND_MICROS);
    assertEquals(3, allocator.localSharePerSecond(10 * SECOND_MICROS), 0.01);
  }

  /** Holds for any demand and any set of peers whose reports arrive. */
  @Test
  void sumOfSharesNeverExceedsRate() {
    SplittableRandom random = new SplittableRandom(3);
    for (int round = 0; round < 200; round++) {
      double sum = sumOfShares(random);
      assertTrue(
          sum <= USER_WRITES_PER_SECOND + 0.0001,
          "sum of shares is " + sum + ", rate is " + USER_WRITES_PER_SECOND);
    }
  }

  /** The sum of the shares of three controllers with random demands, the third perhaps isolated. */
  private static double sumOfShares(SplittableRandom random) {
    WriteRateAllocator[] allocators = new WriteRateAllocator[MEMBERS];
    for (int i = 0; i < MEMBERS; i++) {
      allocators[i] = new WriteRateAllocator(USER_WRITES_PER_SECOND, MEMBERS);
      allocators[i].recordLocalDemand(random.nextDouble(50));
    }
    boolean thirdIsolated = random.nextBoolean();
    double sum = 0;
    for (int i = 0; i < MEMBERS; i++) {
      for (int j = 0; j < MEMBERS; j++) {
        if (i != j && !(thirdIsolated && (i == 2 || j == 2))) {
          allocators[i].recordPeerDemand(
              "n-" + j, allocators[j].localDemandPerSecond(), SECOND_MICROS);
        }
      }
      sum += allocators[i].localSharePerSecond(SECOND_MICROS);
    }
    return sum;
  }
}
