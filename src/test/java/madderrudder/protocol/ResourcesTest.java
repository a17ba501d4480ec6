package madderrudder.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigDecimal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against amounts that are counted lower than a task takes, or higher than a machine or a
 * team has, and against capacity that is given away for it.
 */
class ResourcesTest {
  private static Resources required(String cpus) {
    return Resources.required(new BigDecimal(cpus), BigDecimal.ZERO, BigDecimal.ZERO);
  }

  private static Resources available(String cpus) {
    return Resources.available(new BigDecimal(cpus), BigDecimal.ZERO, BigDecimal.ZERO);
  }

  @ParameterizedTest
  @CsvSource({"0.03125, 72, 2304", "0.3333, 1, 3", "16.0004, 16, 0", "0.1, 0.3, 3"})
  void asManyTasksFitAsWritten(String task, String capacity, long expected) {
    assertEquals(expected, required(task).timesIn(available(capacity)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"0.30000000000000004", "0.0000000000000000001", "1e-2000000000"})
  void amountWithMoreDigitsThanAreKeptIsCountedToTheSafeSide(String amount) {
    assertEquals(available(amount).nanoCpus() + 1, required(amount).nanoCpus());
  }

  @Test
  void taskBeyondAllMachinesFitsNone() {
    assertFalse(required("1e300").fits(available("1e300")));
    assertTrue(required("999999999.999999999").fits(available("1e300")));
  }

  /** The product used to overflow, and an amount below 0 fits any limit. */
  @Test
  void tasksOfLargeJobDoNotOverflow() {
    assertFalse(required("999999999").times(100_000).fits(available("999999999")));
    assertEquals(required("25"), required("0.25").times(100));
  }

  @Test
  void amountsOfEarlierVersionsKeepTheirValue() {
    assertEquals(required("0.031"), Resources.ofThousandths(31, 0, 0));
    assertEquals(32, Resources.toThousandths(required("0.03125").nanoCpus()));
    assertTrue(required("0.031").isInThousandths());
    assertFalse(required("0.03125").isInThousandths());
  }
}
