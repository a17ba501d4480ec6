package madderrudder.coordination.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** How many machines of a pool are requested after refusals and failed boots. */
class CapacityPoolLimitsTest {
  private static final long SECOND = 1_000_000;

  /**
   * Each machine asked for takes from the budget: where none is to be had, or none comes up, one is
   * asked for.
   */
  @Test
  void exhaustedPoolsAndFailingBootsLowerTheRequestLimit() {
    CapacityPoolLimits limits = new CapacityPoolLimits();
    CapacityPool pool = new CapacityPool("box", "east", true);
    assertEquals(50, limits.requestLimit(pool, 0));
    limits.recordAnswer(pool, 50, 0, 0);
    assertEquals(0, limits.requestLimit(pool, 19 * SECOND));
    assertEquals(1, limits.requestLimit(pool, 20 * SECOND));
    int asked = 0;
    long now = 20 * SECOND;
    for (int most = 1; most < 50; most = limits.requestLimit(pool, now)) {
      limits.recordAnswer(pool, most, most, now);
      asked++;
    }
    assertEquals(2, asked);
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
