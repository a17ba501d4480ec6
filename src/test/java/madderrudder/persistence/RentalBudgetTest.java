package madderrudder.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import madderrudder.protocol.Json;
import madderrudder.protocol.MalformedMessageException;
import org.junit.jupiter.api.Test;

/**
 * Guards against more rentals than the budget permits after a failover to a node with a different
 * clock.
 */
class RentalBudgetTest {
  private static final long WINDOW_MICROS = 300_000_000;

  /** The second node's clock may be ahead of the first one's by twice the maximum clock error. */
  @Test
  void budgetLoadedByAnotherNodePermitsNoAdditionalRentalsWithinWindow()
      throws MalformedMessageException {
    RentalBudget first = new RentalBudget(3, WINDOW_MICROS, 1_000_000);
    assertTrue(first.reserve(3, 1_000_000_000));
    assertFalse(first.reserve(1, 1_000_000_000 + WINDOW_MICROS));
    RentalBudget second = new RentalBudget(3, WINDOW_MICROS, 1_000_000);
    second.load(Json.readObject(first.encode()));
    assertEquals(0, second.remaining(1_000_000_000 + WINDOW_MICROS + 1_999_999));
    assertEquals(3, second.remaining(1_000_000_000 + WINDOW_MICROS + 2_000_000));
  }
}
