package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import madderrudder.coordination.policy.OperatorPolicy;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Two troubles at once, as the operators list them (all but the gap in the store, which is
 * GapTest's): each is really brought about, every rule is checked after each step, and at the end
 * that nobody is forgotten and everybody served. Alone, and two of them together. A longer search:
 * {@code mvn test -Dtest=MeetingsTest -DargLine=-DmeetingSeeds=100}.
 */
@Timeout(120)
@Execution(ExecutionMode.CONCURRENT)
class MeetingsTest {
  private static final long SEEDS = Long.getLong("meetingSeeds", 3);
  private static final int MOST_TRIES = 9;
  private static final int ALWAYS = 3;
  private static final long SECOND = World.SECOND;
  private static final OperatorPolicy POLICY =
      new OperatorPolicy(
          3_000_000,
          1_000_000,
          60,
          100_000_000,
          15_000_000,
          OperatorPolicy.SpotMode.ALWAYS,
          3_000_000,
          0.1,
          0.1,
          true,
          false);

  /** A day with the meetings; whether each has come about. The rules are to hold either way. */
  private static boolean rulesHold(List<Meeting> meetings, long seed) {
    World world = new World(seed, World.usualWorkers(), World.usualWorkers(), POLICY);
    world.users.visitors();
    world.users.insist();
    world.users.begin(3_000_000, 120 * SECOND);
    world.run(50 * SECOND);
    String what = meetings + ", seed " + seed;
    List<Meeting.Course> courses = meetings.stream().map(Meeting::course).toList();
    for (Meeting.Course course : courses) {
      course.begin(world);
      world.run(world.sim.nowMicros + world.sim.random.nextLong(9 * SECOND));
    }
    world.run(130 * SECOND);
    boolean happened = courses.stream().allMatch(course -> course.happened(world));
    world.run(220 * SECOND);
    world.users.askAboutAll();
    world.lookWhoWaits();
    world.run(330 * SECOND);
    world.rules.endOfDay();
    assertEquals(List.of(), world.rules.broken, what);
    assertEquals(List.of(), world.store.broken, what);
    assertEquals(1, world.names().stream().filter(world::leads).count(), "leaders, " + what);
    return happened;
  }

  @ParameterizedTest
  @EnumSource(Meeting.class)
  void rulesHold(Meeting meeting) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      // A longer search draws days too that leave nothing to meet.
      assertTrue(
          rulesHold(List.of(meeting), seed) || seed > ALWAYS,
          meeting + " did not come about, seed " + seed);
    }
  }

  static Stream<List<Meeting>> pairs() {
    return World.pairs(Meeting.values());
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void rulesHoldInTwoMeetings(List<Meeting> two) {
    for (long seed = 1; seed <= (SEEDS + 2) / 3; seed++) {
      // One of them may leave nothing for the other to meet; then other days are drawn, and checked
      // as well.
      long from = 1_000 * seed;
      assertTrue(
          LongStream.rangeClosed(from, from + MOST_TRIES).anyMatch(day -> rulesHold(two, day)),
          two + " did not come about from seed " + from);
    }
  }
}
