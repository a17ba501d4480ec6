package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

class RentalBudgetTest {
  private static final long WINDOW = 300_000_000;

  /** The second node's clock may differ by all that is allowed. */
  @Test
  void aBudgetLoadedByAnotherNodeLetsNoMoreThroughWithinTheWindow()
      throws MalformedMessageException {
    RentalBudget first = new RentalBudget(3, WINDOW, 1_000_000);
    assertTrue(first.reserve(3, 1_000_000_000));
    assertFalse(first.reserve(1, 1_000_000_000 + WINDOW));
    RentalBudget second = new RentalBudget(3, WINDOW, 1_000_000);
    second.load(Json.readObject(first.render()));
    assertEquals(0, second.left(1_000_000_000 + WINDOW + 1_999_999));
    assertEquals(3, second.left(1_000_000_000 + WINDOW + 2_000_000));
  }
}
