package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against delays that make all refused users return at once, so that the store serves only a
 * few of them and refuses the others again.
 */
class RetryAfterPolicyTest {
  private static final int SECOND_MICROS = 1_000_000;

  private final RetryAfterPolicy policy = new RetryAfterPolicy();

  /**
   * Refuses the given number of requests in each of two seconds.
   *
   * @return for each delay in seconds, how many requests of the second of these got it
   */
  private int[] countRetriesByDelay(int refused, double servedPerSecond) {
    for (int i = 0; i < refused; i++) {
      policy.chooseDelaySeconds(0, servedPerSecond);
    }
    int[] retriesByDelay = new int[10];
    for (int i = 0; i < refused; i++) {
      retriesByDelay[policy.chooseDelaySeconds(SECOND_MICROS + i, servedPerSecond)]++;
    }
    return retriesByDelay;
  }

  /**
   * Up to the longest delay, some users return in each second, so that the store is not idle, and
   * no more than an even spread gives, so that it can serve them.
   */
  @ParameterizedTest
  @CsvSource({"10,20,1", "100,20,5", "1000,20,8", "60,0.5,8"})
  void spreadsRetriesOverTimeNeededToServeThem(
      int refused, double servedPerSecond, int spreadSeconds) {
    int[] retriesByDelay = countRetriesByDelay(refused, servedPerSecond);
    for (int delay = 1; delay < retriesByDelay.length; delay++) {
      assertEquals(
          delay <= spreadSeconds, retriesByDelay[delay] > 0, "retries after " + delay + " s");
    }
    int most = Arrays.stream(retriesByDelay, 1, retriesByDelay.length).max().orElseThrow();
    assertTrue(most <= refused / spreadSeconds + 1, most + " retries after the same delay");
  }

  @Test
  void singleRefusalGetsDelayOfOneSecond() {
    for (int i = 0; i < 500; i++) {
      policy.chooseDelaySeconds(i, 1);
    }
    assertEquals(1, policy.chooseDelaySeconds(5 * SECOND_MICROS, 1));
  }
}
