package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import madderrudder.coordination.policy.Deployment;
import madderrudder.coordination.policy.OperatorPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A gap in the store: it refuses the leader alone, other controllers confirm cancellations, and
 * then nobody reaches it for longer than the time for cancelling, while workers go on reporting.
 * The tasks of those jobs are gone in time all the same, whatever becomes of the leader. A longer
 * search: {@code mvn test -Dtest=GapTest -DargLine=-DgapSeeds=50}.
 */
@Timeout(120)
class GapTest {
  private static final long SEEDS = Long.getLong("gapSeeds", 2);
  private static final long SECOND = World.SECOND;

  /** The times of a deployment's workers. */
  private enum Times {
    SMALL(World.usualWorkers()),
    RENDER(
        new Deployment.WorkerTimes(4 * SECOND, 22 * SECOND, 35 * SECOND, 4 * SECOND, 52 * SECOND)),
    TRADESLINK(
        new Deployment.WorkerTimes(4 * SECOND, 22 * SECOND, 35 * SECOND, 4 * SECOND, 47 * SECOND));

    private final Deployment.WorkerTimes workers;

    Times(Deployment.WorkerTimes workers) {
      this.workers = workers;
    }

    /** For so long reports may be answered without news. */
    long answerMicros() {
      return workers.cancelMicros() - workers.leaseMicros() - 2 * SECOND;
    }
  }

  /** What comes beside the gap. */
  private enum Fate {
    /** The leader keeps its hold through the outage. */
    LEADS_ON,
    /** It ends in the outage, and another process of its name comes soon after. */
    RESTARTED {
      @Override
      void befalls(World world, String leader, Times times) {
        world.sim.after(
            world.sim.random.nextLong(times.answerMicros()),
            () -> world.crash(leader, SECOND / 10 + world.sim.random.nextLong(3 * SECOND)));
      }
    },
    /** It stands still, and goes on when it likes to. */
    FROZEN {
      @Override
      void befalls(World world, String leader, Times times) {
        world.sim.after(
            world.sim.random.nextLong(4 * SECOND),
            () -> world.freeze(leader, world.sim.random.nextLong(times.answerMicros())));
      }
    },
    /** Nothing of the other controllers reaches it either. */
    ALONE {
      @Override
      void befalls(World world, String leader, Times times) {
        world
            .names()
            .forEach(
                other -> world.net.cut(leader, other, world.sim.chance(0.5), times.answerMicros()));
      }
    },
    /** Workers can't reach it, and their reports are passed on by others. */
    PASSED_ON {
      @Override
      void before(World world, String leader, Times times) {
        world.cloud.workers().stream()
            .filter(worker -> worker.zone.equals("east"))
            .forEach(
                worker ->
                    world.net.cut(leader, worker.id, false, 2 * times.workers.cancelMicros()));
      }

      @Override
      boolean happened(World world) {
        return world.names().stream().anyMatch(name -> world.metric(name, "reports_passed_on") > 0);
      }
    },
    /** Its hold ends before the outage; another is elected, and can't read what there is. */
    UNREAD {
      @Override
      void before(World world, String leader, Times times) {
        world.store.refuse(leader, 2 * times.workers.cancelMicros());
        world.store.failReads(times.workers.cancelMicros() + 10 * SECOND);
        world.run(world.sim.nowMicros + 4 * SECOND + times.workers.cancelMicros() / 2);
      }
    },
    /**
     * All are refused until the leader hardly answers any more; another is elected, and then nobody
     * reaches the store.
     */
    FOR_A_MOMENT {
      @Override
      void before(World world, String leader, Times times) {
        long untilMicros = world.sim.nowMicros + times.answerMicros() - SECOND;
        world.names().forEach(name -> world.store.refuse(name, untilMicros - world.sim.nowMicros));
        world.store.refuse(leader, 2 * times.workers.cancelMicros());
        world.store.failReads(times.answerMicros() + 2 * SECOND);
        world.run(untilMicros + 400_000);
      }
    };

    void befalls(World world, String leader, Times times) {}

    boolean happened(World world) {
      return true;
    }

    /** What comes between the confirmations and the outage. */
    void before(World world, String leader, Times times) {}
  }

  private record Course(Times times, Fate fate, boolean deputies, long seed) {}

  static Stream<Course> courses() {
    List<Course> courses = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (Times times : Times.values()) {
        for (Fate fate : Fate.values()) {
          courses.add(new Course(times, fate, seed % 2 == 1, seed));
        }
      }
    }
    return courses.stream();
  }

  private static OperatorPolicy policy(boolean deputies) {
    return new OperatorPolicy(
        3_000_000,
        1_000_000,
        60,
        100_000_000,
        15_000_000,
        OperatorPolicy.SpotMode.ALWAYS,
        3_000_000,
        0.1,
        0.1,
        deputies,
        false);
  }

  @ParameterizedTest
  @MethodSource("courses")
  void cancelledTasksAreGoneInTime(Course course) {
    OperatorPolicy policy = policy(course.deputies());
    Deployment.WorkerTimes workers = course.times().workers;
    World world = new World(course.seed(), workers, workers, policy);
    world.users.begin(3 * SECOND, 100 * SECOND);
    world.run(60 * SECOND);
    long confirmed = 0;
    int answered = 0;
    // One gap, or two in a row.
    for (long gap = 0; gap <= course.seed() % 2; gap++) {
      String leader = world.leader();
      world.store.refuse(leader, SECOND + world.sim.random.nextLong(15 * SECOND));
      world.run(world.sim.nowMicros + 100_000 + world.sim.random.nextLong(300_000));
      world.users.cancelSome(world.sim.chance(0.3) ? 1 : 50);
      world.run(world.sim.nowMicros + 300_000 + world.sim.random.nextLong(1_500_000));
      confirmed += world.rules.cancelledRunning();
      int before = answers(world);
      course.fate().before(world, leader, course.times());
      long outageMicros = (long) (workers.cancelMicros() * (world.sim.chance(0.2) ? 0.6 : 1.3));
      world.store.outage(outageMicros);
      course.fate().befalls(world, leader, course.times());
      world.run(world.sim.nowMicros + outageMicros);
      answered += answers(world) - before;
      world.run(world.sim.nowMicros + 20 * SECOND);
    }
    assertTrue(confirmed > 0, "no task of a cancelled job was running when the store went away");
    // Without deputies nothing is granted, and a leader that has not read what there is keeps
    // silent.
    assertTrue(
        answered > 0 || (course.fate() == Fate.UNREAD && !course.deputies()),
        "no report was answered after the confirmations");
    assertTrue(
        course.fate().happened(world) || !course.deputies(), course.fate() + " did not come about");
    world.run(world.sim.nowMicros + 2 * workers.cancelMicros());
    assertEquals(List.of(), world.rules.broken);
    assertEquals(List.of(), world.store.broken);
    assertTrue(
        world.rules.slowestEndMicros <= workers.cancelMicros(),
        world.rules.slowestEndMicros / 1e6 + " s");
    world.users.askAboutAll();
    world.run(world.sim.nowMicros + 120 * SECOND);
    world.rules.endOfDay();
    assertEquals(List.of(), world.rules.broken);
  }

  /**
   * Also an answer to a report that is no news renews a lease, and so says what is to be stopped.
   */
  @Test
  void everyAnswerStopsWhatShallNotBeThere() {
    World world = new World(1, World.usualWorkers(), World.usualWorkers(), policy(true));
    world.run(10 * SECOND);
    String report =
        "{\"vessel\":\"m-900000\",\"addr\":\"10.9.0.1:1\",\"build\":\"small\",\"berth\":\"east\",\"watch\":1,\"knot\":5,"
            + "\"helm\":0,\"strokes\":[{\"stroke\":\"req-999999/0\",\"launch\":7,\"trim\":\"running\"}]}";
    List<String> answers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      world.hello(
          world.leader(),
          report,
          response ->
              answers.add(response.status() + new String(response.body(), StandardCharsets.UTF_8)));
      world.run(world.sim.nowMicros + SECOND);
    }
    assertEquals(2, answers.size());
    answers.forEach(
        answer ->
            assertTrue(
                answer.startsWith("200")
                    && answer.contains("\"stop\"")
                    && answer.contains("req-999999/0"),
                answer));
  }

  private static int answers(World world) {
    return world.cloud.workers().stream().mapToInt(worker -> worker.answered).sum();
  }
}
