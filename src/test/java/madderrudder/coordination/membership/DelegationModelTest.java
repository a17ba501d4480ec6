package madderrudder.coordination.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import madderrudder.coordination.membership.DelegationModel.Fault;
import madderrudder.coordination.membership.DelegationModel.Scenario;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A longer search: {@code mvn test -Dtest=DelegationModelTest -DargLine="-DmodelTicks=2 -Xmx8g"}.
 */
@Timeout(600)
class DelegationModelTest {
  private static final int MORE_TICKS = Integer.getInteger("modelTicks", 0);
  private static final int MOST_STATES = 20_000_000;
  private static final Scenario CALM = new Scenario(false, false, false);
  private static final Scenario RESTARTS = new Scenario(false, true, false);
  private static final Scenario CANCELLATION = new Scenario(false, false, true);
  private static final Scenario SECOND_LEADER = new Scenario(true, false, false);

  private static String explore(
      int delegates, int lease, Scenario scenario, int ticks, Fault fault) {
    return new DelegationModel(delegates, lease, fault)
        .explore(scenario, ticks + MORE_TICKS, MOST_STATES);
  }

  static Stream<Arguments> explorations() {
    return Stream.of(
        Arguments.of(1, 3, CALM, 10, 30_000),
        Arguments.of(1, 3, RESTARTS, 8, 50_000),
        Arguments.of(1, 3, CANCELLATION, 11, 100_000),
        Arguments.of(2, 2, CALM, 6, 100_000),
        Arguments.of(1, 2, SECOND_LEADER, 5, 50_000));
  }

  @ParameterizedTest
  @MethodSource("explorations")
  void noCourseOfEventsBreaksARule(
      int delegates, int lease, Scenario scenario, int ticks, int leastStates) {
    String found = explore(delegates, lease, scenario, ticks, Fault.NONE);
    assertTrue(found.matches("[0-9]+ states"), found);
    int states = Integer.parseInt(found.substring(0, found.indexOf(' ')));
    assertTrue(states >= leastStates, "only " + found);
  }

  static Stream<Arguments> faults() {
    return Stream.of(
        Arguments.of(Fault.LATE_GRANT, 1, 3, CALM, 10, "ran_twice"),
        Arguments.of(Fault.NO_COVERAGE, 1, 3, CALM, 10, "ran_twice"),
        // The first version had this one: a delegate's unknown answer lets another's keep the
        // worker for longer.
        Arguments.of(Fault.EACH_ALONE, 2, 2, CALM, 6, "ran_twice"),
        Arguments.of(Fault.NO_CANCELLATION_BOUND, 1, 3, CANCELLATION, 11, "ran_cancelled"));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void explorationDetectsARuleThatIsLeftOut(
      Fault fault, int delegates, int lease, Scenario scenario, int ticks, String broken) {
    assertEquals(broken, explore(delegates, lease, scenario, ticks, fault));
  }
}
