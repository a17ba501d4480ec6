package madderrudder.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import madderrudder.coordination.policy.OperatorPolicy;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.TaskId;

/**
 * Figures of starts after all controllers went down, in virtual time: {@code ColdStartFigures
 * MACHINES GAP_S BACK SEED...}. Not a test: it prints a line a seed, for docs/measurements.md and
 * for the same under earlier sources.
 */
final class ColdStartFigures {
  private static final long STEP = World.SECOND / 4;
  private static final int DOWN_S = 60;
  private static final int LOOK_S = 40;

  /** Orders within this time are of the start; later ones are those of any day. */
  private static final int START_S = 10;

  private ColdStartFigures() {}

  public static void main(String[] args) {
    int machines = Integer.parseInt(args[0]);
    int gapS = Integer.parseInt(args[1]);
    int back = Integer.parseInt(args[2]);
    System.out.println(
        "seed machines tasks first_answer_s all_answered_s true_s services_s starts needless unused "
            + "requests_1s writes_1s cloud_1s");
    for (String seed : List.of(args).subList(3, args.length)) {
      System.out.println(run(Long.parseLong(seed), machines, gapS, back));
    }
  }

  private static String run(long seed, int machines, int gapS, int back) {
    OperatorPolicy policy =
        new OperatorPolicy(
            1_000_000,
            1_000_000,
            4 * machines,
            300_000_000,
            20_000_000,
            OperatorPolicy.SpotMode.ALWAYS,
            3_000_000,
            0.1,
            0.1,
            true,
            false);
    World world =
        new World(
            seed, World.usualWorkers(), World.usualWorkers(), policy, World.Size.of(machines));
    world.users.begin(800_000_000L / machines, (DOWN_S + gapS + LOOK_S) * World.SECOND);
    world.run(DOWN_S * World.SECOND);
    int there = world.cloud.workers().size();
    int tasks = world.rules.held().size();
    long never = 10_000 * World.SECOND;
    world.crashAll(
        gapS * World.SECOND,
        back > 1 ? (gapS + 1) * World.SECOND : never,
        back > 2 ? (gapS + 2) * World.SECOND : never);
    long backAt = (DOWN_S + gapS) * World.SECOND;
    world.run(backAt - 1);
    Map<SimWorker, Integer> answered = new HashMap<>();
    world.cloud.workers().forEach(worker -> answered.put(worker, worker.answered));
    int workers = answered.size();
    int starts = world.rules.starts;
    int needless = world.rules.refused + world.rules.stoppedInVain;
    int unused = world.cloud.unused;
    double first = -1;
    double all = -1;
    double truth = -1;
    double services = -1;
    Set<TaskId> differing = null;
    long most = 0;
    long mostWrites = 0;
    int mostCalls = 0;
    long requests = world.store.requests;
    long writes = world.store.written;
    int calls = world.cloud.calls;
    for (long at = backAt; at <= backAt + LOOK_S * World.SECOND; at += STEP) {
      world.run(at);
      double seconds = (at - backAt) / 1e6;
      answered.keySet().removeIf(worker -> worker.gone() || worker.answered > answered.get(worker));
      first = first < 0 && answered.size() < workers ? seconds : first;
      all = all < 0 && answered.size() * 100 <= workers ? seconds : all;
      Set<TaskId> now = world.differences();
      differing = differing == null ? now : differing;
      differing.retainAll(now);
      truth = truth < 0 && differing.isEmpty() ? seconds : truth;
      services = services < 0 && lackingReplicas(world) == 0 ? seconds : services;
      if (at == backAt + START_S * World.SECOND) {
        starts = world.rules.starts - starts;
        needless = world.rules.refused + world.rules.stoppedInVain - needless;
      }
      if ((at - backAt) % World.SECOND == 0) {
        most = Math.max(most, world.store.requests - requests);
        mostWrites = Math.max(mostWrites, world.store.written - writes);
        mostCalls = Math.max(mostCalls, world.cloud.calls - calls);
        requests = world.store.requests;
        writes = world.store.written;
        calls = world.cloud.calls;
      }
    }
    if (!world.rules.broken.isEmpty() || !world.store.broken.isEmpty()) {
      throw new AssertionError(world.rules.broken + " " + world.store.broken);
    }
    return String.format(
        Locale.ROOT,
        "%d %d %d %.2f %.2f %.2f %.2f %d %d %d %d %d %d",
        seed,
        there,
        tasks,
        first,
        all,
        truth,
        services,
        starts,
        needless,
        world.cloud.unused - unused,
        most,
        mostWrites,
        mostCalls);
  }

  /** Replicas of services that were accepted before the gap and are on no machine. */
  private static int lackingReplicas(World world) {
    Set<TaskId> held = new HashSet<>(world.rules.held());
    int lacking = 0;
    for (String job : world.rules.acceptedBefore(DOWN_S * World.SECOND)) {
      if (world.rules.isLive(job) && world.rules.spec(job).kind() == JobKind.SERVICE) {
        for (int task = 0; task < world.rules.spec(job).tasks(); task++) {
          TaskId id = new TaskId(job, task);
          lacking += held.contains(id) && world.rules.holderOf(id) != null ? 0 : 1;
        }
      }
    }
    return lacking;
  }
}
