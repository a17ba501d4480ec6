package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import madderrudder.coordination.policy.OperatorPolicy;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Plays each {@link FaultCombination} alone and each two of them together. Every invariant is
 * checked after each step; at the end nobody may be forgotten or left unserved; and the situation
 * must really have come about, so that no script passes without testing anything. (The store outage
 * after a confirmed cancellation has a test of its own, {@link CancellationInStoreOutageTest}.) A
 * longer search: {@code mvn -B test -Dtest=FaultCombinationsTest -DargLine=-DcombinationSeeds=100}.
 */
@Timeout(120)
@Execution(ExecutionMode.CONCURRENT)
class FaultCombinationsTest {
  private static final long SEEDS = Long.getLong("combinationSeeds", 3);

  /** Up to this seed each combination must come about; later seeds may leave nothing to break. */
  private static final int LAST_SEED_REQUIRED_TO_TAKE_EFFECT = 3;

  /** How many further seeds are tried if a pair does not come about; all are checked. */
  private static final int MAX_FURTHER_SEEDS = 9;

  private static final long SECOND = SimulatedCluster.SECOND;
  private static final OperatorPolicy POLICY = SimPolicies.smallCluster(60, true, false);

  /**
   * Plays the combinations one shortly after the other and checks all invariants.
   *
   * @return whether all of them have come about
   */
  private static boolean runAndCheck(List<FaultCombination> combinations, long seed) {
    SimulatedCluster cluster = new SimulatedCluster(seed, POLICY);
    cluster.users.enableGuestAndFailingJobs();
    cluster.users.retryUnknownCancellations();
    cluster.users.submitRandomJobs(3_000_000, 120 * SECOND);
    cluster.runUntil(50 * SECOND);
    List<FaultScript> scripts = combinations.stream().map(FaultCombination::newScript).toList();
    for (FaultScript script : scripts) {
      script.inject(cluster);
      cluster.runUntil(cluster.scheduler.nowMicros + cluster.scheduler.random.nextLong(9 * SECOND));
    }
    cluster.runUntil(130 * SECOND);
    boolean tookEffect = scripts.stream().allMatch(script -> script.tookEffect(cluster));
    cluster.runUntil(220 * SECOND);
    cluster.users.pollAllJobs();
    cluster.checkStarvationEverySecond();
    cluster.runUntil(330 * SECOND);
    cluster.invariants.checkAtEnd();
    cluster.assertNoViolations(combinations);
    assertEquals(
        1,
        cluster.controllerNames().stream().filter(cluster::isLeader).count(),
        () -> "leaders, " + combinations + ", seed " + seed);
    return tookEffect;
  }

  static Stream<Arguments> combinations() {
    return Arrays.stream(FaultCombination.values())
        .flatMap(
            combination ->
                LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> Arguments.of(combination, seed)));
  }

  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("combinations")
  @Timeout(40)
  void eachCombinationAloneKeepsInvariants(FaultCombination combination, long seed) {
    assertTrue(
        runAndCheck(List.of(combination), seed) || seed > LAST_SEED_REQUIRED_TO_TAKE_EFFECT,
        combination + " did not come about, seed " + seed);
  }

  static Stream<Arguments> pairs() {
    return LongStream.rangeClosed(1, (SEEDS + 2) / 3)
        .boxed()
        .flatMap(
            seed ->
                SimulatedCluster.allPairs(FaultCombination.values())
                    .map(pair -> Arguments.of(pair, 1_000 * seed)));
  }

  @ParameterizedTest(name = "{0}, from seed {1}")
  @MethodSource("pairs")
  void eachPairOfCombinationsKeepsInvariants(List<FaultCombination> pair, long firstSeed) {
    // One of them may leave nothing for the other to break; then further seeds are played, and
    // checked as well.
    assertTrue(
        LongStream.rangeClosed(firstSeed, firstSeed + MAX_FURTHER_SEEDS)
            .anyMatch(seed -> runAndCheck(pair, seed)),
        pair + " did not come about from seed " + firstSeed);
  }
}
