package madderrudder.estimates;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against changed or duplicate level codes, which would corrupt the meaning of stored pages.
 */
class LevelTest {
  @ParameterizedTest
  @CsvSource({"JOB, 0", "WORK, 1", "TEAM, 2", "CLASS, 3", "ALL, 4", "NONE, 5"})
  void codesAreStable(Level level, byte code) {
    assertEquals(code, level.code());
    assertEquals(level, Level.ofCode(code));
  }

  @Test
  void eachLevelHasAUniqueCode() {
    for (Level level : Level.values()) {
      assertEquals(level, Level.ofCode(level.code()));
    }
  }

  @ParameterizedTest
  @ValueSource(bytes = {-1, 6, 127})
  void unknownCodesAreRejected(byte code) {
    assertThrows(IllegalArgumentException.class, () -> Level.ofCode(code));
  }
}
