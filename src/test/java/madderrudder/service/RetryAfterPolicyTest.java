package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterPolicyTest {
  private static final int SECOND = 1_000_000;

  private final RetryAfterPolicy policy = new RetryAfterPolicy();

  /** How many of those refused in the second second are told to retry after each time. */
  private int[] retriesPerSecond(int refused, double servedPerSecond) {
    for (int i = 0; i < refused; i++) {
      policy.afterSeconds(0, servedPerSecond);
    }
    int[] retries = new int[10];
    for (int i = 0; i < refused; i++) {
      retries[policy.afterSeconds(SECOND + i, servedPerSecond)]++;
    }
    return retries;
  }

  /**
   * In each second come back no more than are served in it, and no fewer than keep it busy, up to
   * the longest absence.
   */
  @ParameterizedTest
  @CsvSource({"10,20,1", "100,20,5", "1000,20,8", "60,0.5,8"})
  void retriesAreSpreadOverTheTimeItTakesToServeThem(
      int refused, double servedPerSecond, int seconds) {
    int[] retries = retriesPerSecond(refused, servedPerSecond);
    for (int s = 1; s < retries.length; s++) {
      assertEquals(s <= seconds, retries[s] > 0, "after " + s + " s");
    }
    int most = Arrays.stream(retries, 1, retries.length).max().orElseThrow();
    assertTrue(most <= refused / seconds + 1, most + " at once");
  }

  @Test
  void aSingleRefusalIsRetriedAfterASecond() {
    for (int i = 0; i < 500; i++) {
      policy.afterSeconds(i, 1);
    }
    assertEquals(1, policy.afterSeconds(5 * SECOND, 1));
  }
}
