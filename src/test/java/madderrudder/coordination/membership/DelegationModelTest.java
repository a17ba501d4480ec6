package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import madderrudder.coordination.membership.DelegationModel.Fault;
import madderrudder.coordination.membership.DelegationModel.Story;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A longer search: {@code mvn test -Dtest=DelegationModelTest -DargLine="-DmodelTicks=2 -Xmx8g"}.
 */
@Timeout(600)
class DelegationModelTest {
  private static final int MORE_TICKS = Integer.getInteger("modelTicks", 0);
  private static final int MOST_STATES = 20_000_000;
  private static final Story CALM = new Story(false, false, false);
  private static final Story RESTARTS = new Story(false, true, false);
  private static final Story CANCELLATION = new Story(false, false, true);
  private static final Story SECOND_LEADER = new Story(true, false, false);

  private static String explore(int deputies, int lease, Story story, int ticks, Fault fault) {
    return new DelegationModel(deputies, lease, fault)
        .explore(story, ticks + MORE_TICKS, MOST_STATES);
  }

  private static void holds(int leastStates, String found) {
    assertTrue(found.matches("[0-9]+ states"), found);
    int states = Integer.parseInt(found.substring(0, found.indexOf(' ')));
    assertTrue(states >= leastStates, "only " + found);
  }

  @Test
  void noCourseOfEventsBreaksARule() {
    holds(30_000, explore(1, 3, CALM, 10, Fault.NONE));
    holds(50_000, explore(1, 3, RESTARTS, 8, Fault.NONE));
    holds(100_000, explore(1, 3, CANCELLATION, 11, Fault.NONE));
    holds(100_000, explore(2, 2, CALM, 6, Fault.NONE));
    holds(50_000, explore(1, 2, SECOND_LEADER, 5, Fault.NONE));
  }

  /** The exploration tells of each rule that is left out. */
  @Test
  void eachRuleIsNeeded() {
    assertEquals("ran_twice", explore(1, 3, CALM, 10, Fault.LATE_GRANT));
    assertEquals("ran_twice", explore(1, 3, CALM, 10, Fault.NO_COVERAGE));
    // The first version had this one: a deputy's unknown answer lets another's keep the worker for
    // longer.
    assertEquals("ran_twice", explore(2, 2, CALM, 6, Fault.EACH_ALONE));
    assertEquals("ran_cancelled", explore(1, 3, CANCELLATION, 11, Fault.NO_DOOM));
  }
}
