import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** A spot machine is taken without notice, and a machine that comes up then has its address. */
final class ReusedAddress {
  public static void main(String[] args) {
    World.main(args, ReusedAddress::run);
  }

  private static Map<String, Object> job(World w, String id, String build, double cores, double s) {
    Map<String, Object> job = w.newJob(id, "array", 1, cores, s);
    job.put("builds", List.of(build));
    job.put("berth", "tampere-a");
    job.put("driftwood", true);
    return job;
  }

  private static Machine machineOf(World w, String task) {
    return w.checker.machineOf(task);
  }

  static boolean run(World w) throws Exception {
    w.begin(4);
    w.cloud.types = List.of(Cloud.BIG, Cloud.SMALL);
    List<Machine> late = new CopyOnWriteArrayList<>();
    w.cloud.boots =
        machine -> {
          if (machine.type == Cloud.SMALL && late.isEmpty()) {
            late.add(machine);
            return false;
          }
          return true;
        };
    w.startAll();
    w.await("all controllers are healthy", 30, () -> w.members.stream().allMatch(w::isHealthy));
    if (!w.submitUntilAccepted(job(w, "req-000001", "big", 4, 80), 20)) {
      throw new World.CannotRun("the first job is not accepted");
    }
    w.await("the first job runs", 40, () -> machineOf(w, "req-000001/0") != null);
    Machine first = machineOf(w, "req-000001/0");
    if (!w.submitUntilAccepted(job(w, "req-000002", "small", 1, 80), 20)) {
      throw new World.CannotRun("the second job is not accepted");
    }
    w.await("a small machine is rented", 20, () -> !late.isEmpty());
    Machine second = late.get(0);
    World.sleep(2000);
    int port = Integer.parseInt(first.address().split(":")[1]);
    if (World.TROUBLE) {
      w.note("cloud", "takes without notice", "machine", first.id, "address", first.address());
      w.cloud.take(first.id);
      second.listen(port);
    }
    w.cloud.up(second);
    w.note("cloud", "up", "machine", second.id, "address", second.address());
    boolean served = w.within(5, () -> machineOf(w, "req-000002/0") == second);
    w.note("case", "second machine served", "is", served);
    if (!w.submitUntilAccepted(job(w, "req-000003", "big", 2, 5), 20)) {
      throw new World.CannotRun("the third job is not accepted");
    }
    w.within(60, () -> w.checker.isDone("req-000003/0") || !w.checker.violations.isEmpty());
    World.sleep(3000);
    return w.checker.violations.isEmpty();
  }
}
