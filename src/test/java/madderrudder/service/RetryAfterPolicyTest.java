package madderrudder.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAfterPolicyTest {
  /**
   * In each second come back no more than are served in it, and no fewer than keep it busy, up to
   * the longest absence.
   */
  @ParameterizedTest
  @CsvSource({"10,20,1", "100,20,5", "1000,20,8", "60,0.5,8"})
  void thoseRefusedComeBackSpreadOverTheTimeItTakesToServeThem(
      int refused, double perSecond, int seconds) {
    RetryAfterPolicy returns = new RetryAfterPolicy();
    for (int i = 0; i < refused; i++) {
      returns.afterSeconds(0, perSecond);
    }
    int[] at = new int[10];
    for (int i = 0; i < refused; i++) {
      at[returns.afterSeconds(1_000_000 + i, perSecond)]++;
    }
    int most = 0;
    for (int s = 1; s < 10; s++) {
      assertEquals(s <= seconds, at[s] > 0, "after " + s + " s");
      most = Math.max(most, at[s]);
    }
    assertTrue(most <= refused / seconds + 1, most + " at once");
  }

  @Test
  void oneWhoIsRefusedAloneIsBackInASecond() {
    RetryAfterPolicy returns = new RetryAfterPolicy();
    for (int i = 0; i < 500; i++) {
      returns.afterSeconds(i, 1);
    }
    assertEquals(1, returns.afterSeconds(5_000_000, 1));
  }
}
