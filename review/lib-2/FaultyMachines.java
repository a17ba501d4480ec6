import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** Four faulty machines make a sound job fail, and a healthy machine then has room for it. */
final class FaultyMachines {
  private static final int FAULTY = 4;
  private static final double LEFT_WAITING_SECONDS = 90;

  public static void main(String[] args) {
    World.main(args, FaultyMachines::run);
  }

  static boolean run(World w) throws Exception {
    w.begin(0);
    List<Machine> faulty = new ArrayList<>();
    List<Machine> healthy = new ArrayList<>();
    for (int i = 0; i < FAULTY; i++) {
      Machine machine = w.cloud.add("tampere-a", false, 0);
      machine.failsAfterSeconds = World.TROUBLE ? 1.5 : -1;
      faulty.add(machine);
    }
    for (int i = 0; i < 2; i++) {
      healthy.add(w.cloud.add("tampere-b", false, 0));
    }
    w.startAll();
    w.await("all controllers are healthy", 30, () -> w.members.stream().allMatch(w::isHealthy));
    World.sleep(2000);
    Map<String, Object> first = w.newJob("req-000001", "array", 2, 16, 5);
    first.put("berth", "tampere-b");
    first.put("hull", "img-02");
    first.put("crew", "taitto-01");
    if (!w.submitUntilAccepted(first, 20)) {
      throw new World.CannotRun("the first job is not accepted");
    }
    w.await(
        "the first job is on both healthy machines",
        20,
        () -> healthy.stream().noneMatch(machine -> machine.activeTasks().isEmpty()));
    String id = "req-000002";
    if (!w.submitUntilAccepted(w.newJob(id, "array", FAULTY, 12, 5), 20)) {
      throw new World.CannotRun("the second job is not accepted");
    }
    Set<Machine> used = new HashSet<>();
    w.await(
        "the second job has started on the four other machines",
        20,
        () -> {
          for (int task = 0; task < FAULTY; task++) {
            Machine machine = w.checker.machineOf(id + "/" + task);
            if (machine != null) {
              used.add(machine);
            }
          }
          return used.containsAll(faulty);
        });
    w.await("the first job is done", 20, () -> w.checker.allDone("req-000001"));
    double from = w.seconds() + 2;
    w.note("case", "healthy machines have room", "from", from);
    Web.Client user = new Web.Client();
    Random random = new Random();
    boolean[] tried = new boolean[1];
    while (w.seconds() < from + LEFT_WAITING_SECONDS + 2) {
      for (int task = 0; task < FAULTY; task++) {
        tried[0] |= healthy.contains(w.checker.machineOf(id + "/" + task));
      }
      if (tried[0] || w.checker.allDone(id)) {
        break;
      }
      if ((int) (w.seconds() * 10) % 50 == 0) {
        w.poll(user, w.anyNode(random), id);
      }
      World.sleep(100);
    }
    boolean done = w.within(tried[0] ? 10 : 1, () -> w.checker.allDone(id));
    w.note("case", "the second job", "done", done, "tried on a healthy machine", tried[0]);
    return done && w.checker.violations.isEmpty();
  }
}
