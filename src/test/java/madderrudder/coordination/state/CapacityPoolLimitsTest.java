package madderrudder.coordination.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Guards against requests that use up the scale-out budget for machines that the cloud refuses or
 * that never boot.
 */
class CapacityPoolLimitsTest {
  private static final long SECOND = 1_000_000;

  /**
   * Each requested machine counts against the budget, so after a refusal or failed boots the pool
   * is paused and then limited to one machine. The limit recovers with filled requests.
   */
  @Test
  void refusalsAndFailedBootsLowerRequestLimit() {
    CapacityPoolLimits limits = new CapacityPoolLimits();
    CapacityPool pool = new CapacityPool("box", "east", true);
    assertEquals(50, limits.requestLimit(pool, 0));
    limits.recordAnswer(pool, 50, 0, 0);
    assertEquals(0, limits.requestLimit(pool, 19 * SECOND));
    assertEquals(1, limits.requestLimit(pool, 20 * SECOND));
    int requests = 0;
    long now = 20 * SECOND;
    for (int limit = 1; limit < 50; limit = limits.requestLimit(pool, now)) {
      limits.recordAnswer(pool, limit, limit, now);
      requests++;
    }
    assertEquals(2, requests);
    for (int i = 0; i < 2; i++) {
      limits.recordBootFailure(pool, now);
    }
    assertEquals(50, limits.requestLimit(pool, now));
    limits.recordBootFailure(pool, now);
    assertEquals(0, limits.requestLimit(pool, now));
    assertEquals(1, limits.requestLimit(pool, now + 20 * SECOND));
    limits.recordBoot(pool);
    limits.recordBootFailure(pool, now);
    assertEquals(1, limits.requestLimit(pool, now + 20 * SECOND));
  }
}
