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
 * Guards against sequences of lost, delayed and reordered events that break the safety rules of
 * delegation. It explores every sequence of events in {@link DelegationModel} up to a number of
 * ticks, and checks that the exploration detects omitted rules.
 *
 * <p>A deeper exploration: {@code mvn test -Dtest=DelegationModelTest -DargLine="-DmodelTicks=2
 * -Xmx8g"}.
 */
@Timeout(600)
class DelegationModelTest {
  private static final int EXTRA_TICKS = Integer.getInteger("modelTicks", 0);
  private static final int MAX_STATES = 20_000_000;
  private static final Scenario NO_EVENTS = new Scenario(false, false, false);
  private static final Scenario RESTARTS = new Scenario(false, true, false);
  private static final Scenario CANCELLATION = new Scenario(false, false, true);
  private static final Scenario SECOND_LEADER = new Scenario(true, false, false);

  private static String explore(
      int delegates, int lease, Scenario scenario, int ticks, Fault fault) {
    return new DelegationModel(delegates, lease, fault)
        .explore(scenario, ticks + EXTRA_TICKS, MAX_STATES);
  }

  static Stream<Arguments> explorations() {
    return Stream.of(
        Arguments.of(1, 3, NO_EVENTS, 10, 30_000),
        Arguments.of(1, 3, RESTARTS, 8, 50_000),
        Arguments.of(1, 3, CANCELLATION, 11, 100_000),
        Arguments.of(2, 2, NO_EVENTS, 6, 100_000),
        Arguments.of(1, 2, SECOND_LEADER, 5, 50_000));
  }

  @ParameterizedTest
  @MethodSource("explorations")
  void noSequenceOfEventsBreaksARule(
      int delegates, int lease, Scenario scenario, int ticks, int minStates) {
    String outcome = explore(delegates, lease, scenario, ticks, Fault.NONE);
    assertTrue(outcome.matches("[0-9]+ states"), outcome);
    int states = Integer.parseInt(outcome.substring(0, outcome.indexOf(' ')));
    assertTrue(states >= minStates, "explored only " + outcome);
  }

  static Stream<Arguments> faults() {
    return Stream.of(
        Arguments.of(Fault.GRANT_COUNTS_FROM_RECEIPT, 1, 3, NO_EVENTS, 10, "ran_twice"),
        Arguments.of(Fault.UNKNOWN_ANSWERS_IGNORED, 1, 3, NO_EVENTS, 10, "ran_twice"),
        // An unknown answer of one delegate extends the lease, and another delegate may renew it
        // within the extension. The first version of DelegationTracker had this fault.
        Arguments.of(Fault.DELEGATES_JUDGED_SEPARATELY, 2, 2, NO_EVENTS, 6, "ran_twice"),
        Arguments.of(Fault.GRANT_IGNORES_CANCELLATION, 1, 3, CANCELLATION, 11, "ran_cancelled"));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void explorationDetectsAnOmittedRule(
      Fault fault, int delegates, int lease, Scenario scenario, int ticks, String violatedRule) {
    assertEquals(violatedRule, explore(delegates, lease, scenario, ticks, fault));
  }
}
