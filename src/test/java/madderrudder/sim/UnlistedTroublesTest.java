package madderrudder.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MalformedMessageException;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Troubles that were on no list, each alone, beside another, beside the end of a leader and beside
 * an outage of the store; every rule is checked after each step, and at the end that nobody was
 * forgotten and everybody served. A longer search: {@code mvn test -Dtest=UnlistedTroublesTest
 * -DargLine=-DunlistedSeeds=500}.
 */
@Timeout(60)
class UnlistedTroublesTest {
  private static final long SEEDS = Long.getLong("unlistedSeeds", 5);
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
  private static final long NEVER_OVER = 1_000 * World.SECOND;
  private static final long[] TIMES = {5 * World.SECOND, 25 * World.SECOND, NEVER_OVER};

  /** One trouble; those that may last for the rest of the day do on each third day. */
  private enum Trouble {
    DEAF_MACHINE {
      @Override
      void begin(World world, long forMicros) {
        world.net.deafen(busiest(world).id, forMicros);
      }
    },
    DEAF_TENTH {
      @Override
      void begin(World world, long forMicros) {
        world.cloud.workers().stream()
            .filter(worker -> world.sim.chance(0.2))
            .forEach(worker -> world.net.deafen(worker.id, forMicros));
      }
    },
    DEAF_ZONE {
      @Override
      void begin(World world, long forMicros) {
        world.cloud.workers().stream()
            .filter(worker -> worker.zone.equals("west"))
            .forEach(worker -> world.net.deafen(worker.id, Math.min(forMicros, 40 * World.SECOND)));
      }
    },
    COPIES {
      @Override
      void begin(World world, long forMicros) {
        world.net.copies(Math.min(forMicros, 60 * World.SECOND), 40 * World.SECOND);
      }
    },
    LEADER_ALONE {
      @Override
      void begin(World world, long forMicros) {
        world.alone(world.leader(), world.sim.chance(0.5), Math.min(forMicros, 120 * World.SECOND));
      }
    },
    OTHER_ALONE {
      @Override
      void begin(World world, long forMicros) {
        world.alone(other(world), world.sim.chance(0.5), Math.min(forMicros, 120 * World.SECOND));
      }
    },
    BLINKING_LEADER {
      @Override
      void begin(World world, long forMicros) {
        world.blink(world.leader());
      }
    },
    /** The leader ends, and whoever stands for the lead then does so again and again. */
    BLINKING_ELECTION {
      @Override
      void begin(World world, long forMicros) {
        world.crash(world.leader(), 2 * World.SECOND);
        for (int tenth = 25; tenth < 60; tenth += 5) {
          world.sim.after(tenth * World.SECOND / 10, () -> world.names().forEach(world::blink));
        }
      }
    },
    MACHINES_BACK {
      @Override
      void begin(World world, long forMicros) {
        for (SimWorker worker : world.cloud.workers()) {
          if (world.sim.chance(0.4)) {
            world.sim.after(
                world.sim.random.nextLong(20 * World.SECOND),
                () -> worker.restart(world.sim.chance(0.5)));
          }
        }
      }
    };

    abstract void begin(World world, long forMicros);
  }

  /** What goes wrong as well. */
  private enum Beside {
    NOTHING,
    LEADER_ENDS,
    STORE_AWAY
  }

  private static SimWorker busiest(World world) {
    return world.cloud.workers().stream()
        .max(Comparator.comparingLong(world.rules::tasksOn))
        .orElseThrow();
  }

  private static String other(World world) {
    return world.names().stream()
        .filter(name -> !name.equals(world.leader()))
        .findFirst()
        .orElseThrow();
  }

  private static World day(long seed) {
    World world = new World(seed, World.usualWorkers(), World.usualWorkers(), POLICY);
    world.users.visitors();
    world.users.begin(3_000_000, 140 * World.SECOND);
    world.run(60 * World.SECOND);
    return world;
  }

  private static void nobodyIsForgotten(World world, String what) {
    world.run(200 * World.SECOND);
    world.users.askAboutAll();
    world.run(290 * World.SECOND);
    world.rules.endOfDay();
    assertEquals(List.of(), world.rules.broken, what);
    assertEquals(List.of(), world.store.broken, what);
  }

  @ParameterizedTest
  @EnumSource(Trouble.class)
  void rulesHoldAndEverybodyIsServed(Trouble trouble) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (Beside beside : Beside.values()) {
        World world = day(seed);
        trouble.begin(world, TIMES[(int) (seed % TIMES.length)]);
        world.run(62 * World.SECOND);
        if (beside == Beside.LEADER_ENDS) {
          world.crash(world.leader(), 3 * World.SECOND);
        } else if (beside == Beside.STORE_AWAY) {
          world.store.outage(12 * World.SECOND);
        }
        nobodyIsForgotten(world, trouble + " beside " + beside + ", seed " + seed);
      }
    }
  }

  static Stream<List<Trouble>> pairs() {
    return World.pairs(Trouble.values());
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void rulesHoldThroughTwoTroubles(List<Trouble> two) {
    for (long seed = 1; seed <= (SEEDS + 4) / 5; seed++) {
      World world = day(100 + seed);
      for (Trouble trouble : two) {
        trouble.begin(world, TIMES[(int) (seed % TIMES.length)]);
        world.run(world.sim.nowMicros + world.sim.random.nextLong(8 * World.SECOND));
      }
      nobodyIsForgotten(world, two + ", seed " + seed);
    }
  }

  /**
   * What a machine had when answers stopped reaching it runs elsewhere two leases and a few reports
   * later, and nothing goes there in vain. What an earlier leader had started there once stayed
   * recorded for the rest of the day.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatADeafMachineHadRunsElsewhere(boolean leaderEnds) throws MalformedMessageException {
    for (long seed = 1; seed <= 4; seed++) {
      World world = day(seed);
      SimWorker deaf = busiest(world);
      assertTrue(
          world.rules.tasksOn(deaf) > 1, "only " + world.rules.tasksOn(deaf) + " tasks to lose");
      world.net.deafen(deaf.id, NEVER_OVER);
      if (leaderEnds) {
        world.crash(world.leader(), 3 * World.SECOND);
      }
      // A worker that nothing reaches comes by each five seconds, at each controller in turn.
      long doubted = 0;
      for (int second = 65; second <= 110; second++) {
        world.run(second * World.SECOND);
        doubted =
            Math.max(doubted, world.ask(world.leader(), "/metrics").count("machines_in_doubt", 0));
      }
      assertTrue(doubted > 0, "nothing was in doubt, seed " + seed);
      for (int second = 111; second < 140; second++) {
        world.run(second * World.SECOND);
        Set<TaskId> there =
            world.store.named().stream()
                .filter(task -> deaf.id.equals(world.store.placeOf(task)))
                .filter(task -> world.rules.isLive(task.job()))
                .collect(Collectors.toSet());
        assertEquals(Set.of(), there, "recorded at " + second + " s, seed " + seed);
      }
      assertEquals(List.of(), world.rules.broken);
    }
  }

  /**
   * A late copy of a report does not bring back a machine that was returned: nothing goes there,
   * and it is let go again.
   */
  @Test
  void aReturnedMachineIsNotBroughtBack() {
    World world = day(1);
    SimWorker gone =
        world.cloud.workers().stream().filter(worker -> worker.spot).findFirst().orElseThrow();
    world.cloud.take(gone);
    world.run(80 * World.SECOND);
    world.crash(world.leader(), 3 * World.SECOND);
    world.run(82 * World.SECOND);
    assertTrue(gone.token() > 0);
    for (int second = 82; second < 110; second++) {
      world.report(world.leader(), gone, 1, second, false);
      world.run(second * World.SECOND + World.SECOND / 2);
      assertTrue(
          world.store.named().stream().noneMatch(task -> gone.id.equals(world.store.placeOf(task))),
          "a task is placed there at " + second + " s");
    }
    assertEquals(List.of(), world.rules.broken);
  }

  /**
   * Reports that can't be true are refused, or taken for what they say, and disturb nothing else.
   */
  @Test
  void reportsThatCannotBeTrueDisturbNothing() {
    World world = day(1);
    String leader = world.leader();
    String job =
        world.users.submitted.stream()
            .filter(one -> !world.rules.finished(one))
            .findFirst()
            .orElseThrow();
    String head =
        "{\"vessel\":\"%s\",\"addr\":\"%s\",\"build\":\"%s\",\"berth\":\"%s\",\"watch\":1,\"knot\":1,\"helm\":%s,";
    String tail = "\"strokes\":[{\"stroke\":\"%s\",\"launch\":%s,\"trim\":\"running\"}]}";
    List<Integer> statuses = new ArrayList<>();
    for (String report :
        List.of(
            head.formatted("m-900000", "10.9.0.1:1", "small", "east", Long.MAX_VALUE)
                + tail.formatted(job + "/0", 1),
            head.formatted("m-900001", "nowhere", "small", "east", "18446744073709551615")
                + tail.formatted(job + "/0", 1),
            head.formatted("m-900002", "10.9.0.1:1", "no-such-type", "no-such-zone", 0)
                + tail.formatted(job + "/999999", 7),
            head.formatted("m-900003", "10.9.0.1:1", "small", "east", 0)
                + tail.formatted("req-999999/0", Long.MAX_VALUE),
            "{\"vessel\":7}",
            "[]")) {
      world.hello(leader, report, response -> statuses.add(response.status()));
    }
    world.run(world.sim.nowMicros + World.SECOND);
    assertEquals(List.of(200, 200, 400, 400, 400, 400), statuses.stream().sorted().toList());
    assertEquals(leader, world.leader());
    int starts = world.rules.starts;
    nobodyIsForgotten(world, "reports that can't be true");
    assertTrue(world.rules.starts > starts + 20, "nothing runs any more");
  }

  /**
   * Without store and peers a controller sends users and workers elsewhere, says so at once, and is
   * of use again after.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aControllerThatIsAloneSaysSo(boolean leads) {
    World world = day(1);
    String alone = leads ? world.leader() : other(world);
    world.alone(alone, false, 40 * World.SECOND);
    assertEquals(200, world.status(alone, "/healthz", World.SECOND));
    world.run(70 * World.SECOND);
    assertEquals(503, world.status(alone, "/healthz", World.SECOND));
    for (String name : world.names()) {
      assertTrue(name.equals(alone) || world.status(name, "/healthz", World.SECOND) == 200, name);
    }
    // One question finds out whether the store is back; those beside it are not held.
    String job =
        world.users.submitted.stream()
            .filter(one -> !world.rules.finished(one))
            .findFirst()
            .orElseThrow();
    List<Integer> answers = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      world.statusLater(alone, "/v1/jobs/" + job, answers::add);
    }
    world.run(world.sim.nowMicros + World.SECOND / 2);
    assertTrue(answers.size() >= 4, "only " + answers);
    assertEquals(Set.of(503), Set.copyOf(answers));
    world.run(106 * World.SECOND);
    assertEquals(200, world.status(alone, "/healthz", World.SECOND));
    assertEquals(200, world.status(alone, "/v1/jobs/" + job, World.SECOND));
  }

  /**
   * One array of 25,000 tasks of a quarter of a processor beside the ordinary load, leaders ending
   * in the middle of it: it is done, nobody else is starved, and reports, answers, values and rates
   * keep within their bounds, which the stand-ins check.
   */
  @Test
  void oneHugeArrayBesideTheOrdinary() {
    OperatorPolicy policy =
        new OperatorPolicy(
            1_000_000,
            1_000_000,
            600,
            300_000_000,
            20_000_000,
            OperatorPolicy.SpotMode.ALWAYS,
            3_000_000,
            0.1,
            0.1,
            true,
            false);
    World world =
        new World(7, World.usualWorkers(), World.usualWorkers(), policy, World.Size.LARGE);
    world.users.begin(4_000_000, 100 * World.SECOND);
    world.run(20 * World.SECOND);
    JobSpec huge =
        new JobSpec(
            "req-500000",
            "huge",
            SimUsers.GUEST,
            JobKind.ARRAY,
            Priority.LOW,
            25_000,
            Resources.of(0.25, 0, 0.9),
            "img-huge",
            0.5,
            null,
            null,
            false,
            false,
            true,
            4_000_000,
            0,
            0,
            0);
    world.users.bring(huge);
    world.sim.after(15 * World.SECOND, () -> world.crash(world.leader(), 3 * World.SECOND));
    world.sim.after(40 * World.SECOND, () -> world.crash(world.leader(), World.SECOND / 5));
    world.run(170 * World.SECOND);
    world.users.askAboutAll();
    world.run(260 * World.SECOND);
    world.rules.endOfDay();
    assertEquals(List.of(), world.rules.broken);
    assertEquals(List.of(), world.store.broken);
    assertTrue(world.rules.finished(huge.id()), "the huge array is not done");
  }

  /** What a day's end must find, planted. */
  private enum Planted {
    NOTHING,
    NEVER_STARTED,
    NEVER_ANSWERED,
    CLASS_LEFT_OUT,
    TEAM_LEFT_OUT,
    LARGEST_STARVED,
    LARGEST_LATE
  }

  @ParameterizedTest
  @EnumSource(Planted.class)
  void theEndOfADayFindsWhatIsWrong(Planted planted) {
    World world = new World(1, World.usualWorkers(), World.usualWorkers(), POLICY);
    Rules rules = world.rules;
    rules.placeOf = task -> "m";
    for (int i = 0; i < 40; i++) {
      boolean gang = i % 2 == 0;
      String team = i % 4 < 2 ? "alto" : "basso";
      int tasks = gang && i < 8 ? 3 : 1;
      JobSpec job =
          new JobSpec(
              String.format("req-%06d", i),
              gang ? "train" : "desk",
              team,
              gang ? JobKind.GANG : JobKind.SERVICE,
              Priority.PRODUCTION,
              tasks,
              Resources.of(0.25, 0, 1),
              "img",
              1,
              null,
              null,
              false,
              false,
              true,
              0,
              0,
              0,
              0);
      rules.submits(job);
      rules.told(job.id(), 201, "pending", true, 0);
      boolean left =
          (planted == Planted.CLASS_LEFT_OUT && gang)
              || (planted == Planted.TEAM_LEFT_OUT && team.equals("alto"))
              || (planted == Planted.NEVER_STARTED && i < 30)
              || (planted == Planted.LARGEST_STARVED && tasks > 1);
      if (!left) {
        world.sim.after(
            planted == Planted.LARGEST_LATE && tasks > 1 ? 250 * World.SECOND : 0,
            () -> rules.begins(job.id()));
      }
      boolean answered = planted != Planted.NEVER_ANSWERED || i != 7;
      world.sim.after(
          300 * World.SECOND,
          () -> rules.told(job.id(), answered ? 200 : 503, "running", false, 0));
    }
    world.sim.runUntil(310 * World.SECOND, () -> {});
    rules.endOfDay();
    if (planted == Planted.NOTHING) {
      assertEquals(List.of(), rules.broken);
    } else {
      assertNotEquals(List.of(), rules.broken);
    }
  }

  /**
   * An outage that empties the machines does not have them returned: what waits finds them there
   * when it is over.
   */
  @ParameterizedTest
  @ValueSource(longs = {2, 3, 5})
  void machinesThatAnOutageHasEmptiedAreKept(long seed) {
    World world = day(seed);
    List<SimWorker> rented =
        world.cloud.workers().stream().filter(worker -> !world.cloud.owned(worker)).toList();
    assertTrue(rented.size() > 1, "only " + rented.size() + " machines are rented");
    world.store.outage(60 * World.SECOND);
    world.run(118 * World.SECOND);
    assertEquals(0, world.rules.onMachines(), "leases last longer than thought");
    world.run(126 * World.SECOND);
    assertEquals(
        List.of(), rented.stream().filter(SimWorker::gone).map(worker -> worker.id).toList());
    nobodyIsForgotten(world, "an outage, seed " + seed);
  }

  /**
   * Once nobody places anything any more, whoever waits has room that is not given to him, and is
   * found; at a team's limit nobody is.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whoIsLeftWaitingIsFound(boolean room) {
    World world = new World(3, World.usualWorkers(), World.usualWorkers(), POLICY);
    world.run(20 * World.SECOND);
    double cpus = room ? 1 : 11;
    for (int i = 0; i < 2; i++) {
      world.users.bring(
          new JobSpec(
              "req-10000" + i,
              "sweep",
              "alto",
              JobKind.ARRAY,
              Priority.NORMAL,
              1,
              Resources.of(cpus, 0, 1),
              "img",
              1,
              null,
              null,
              false,
              false,
              true,
              900_000_000,
              0,
              0,
              0));
    }
    world.run(60 * World.SECOND);
    assertEquals(room ? 2 : 1, world.rules.onMachines(), "the limit is 20 processors");
    if (room) {
      world.crashAll(1_000 * World.SECOND);
    }
    world.run(90 * World.SECOND);
    world.lookWhoWaits();
    world.run(200 * World.SECOND);
    assertEquals(
        room ? 2 : 0,
        world.rules.broken.stream().filter(one -> one.startsWith("left_waiting")).count());
    world.rules.toldOfWrong("a job without a field", 503);
    world.rules.toldOfWrong("a job without a field", 201);
    assertEquals(
        1, world.rules.broken.stream().filter(one -> one.startsWith("accepted_wrong")).count());
  }
}
