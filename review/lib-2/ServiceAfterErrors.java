import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Four machines fail one task each of a service; afterwards all machines are sound. */
final class ServiceAfterErrors {
  private static final int REPLICAS = 3;
  private static final int FAULTS = 4;
  private static final double LEFT_WAITING_SECONDS = 90;
  private static final String JOB = "req-000001";

  public static void main(String[] args) {
    World.main(args, ServiceAfterErrors::run);
  }

  private static List<String> missing(World w) {
    List<String> missing = new ArrayList<>();
    for (int i = 0; i < REPLICAS; i++) {
      if (w.checker.machineOf(JOB + "/" + i) == null) {
        missing.add(JOB + "/" + i);
      }
    }
    return missing;
  }

  static boolean run(World w) throws Exception {
    w.begin(0);
    for (int i = 0; i < 6; i++) {
      w.cloud.add(w.zones.get(i % 2), false, 0);
    }
    if (World.TROUBLE) {
      w.machinesToFail.set(FAULTS);
    }
    w.startAll();
    w.await("all controllers are healthy", 30, () -> w.members.stream().allMatch(w::isHealthy));
    World.sleep(3000);
    Map<String, Object> service = w.newJob(JOB, "service", REPLICAS, 4, 0);
    service.put("apart", true);
    if (!w.submitUntilAccepted(service, 20)) {
      throw new World.CannotRun("the service is not accepted");
    }
    w.await("a replica runs", 20, () -> missing(w).size() < REPLICAS);
    w.await("the last fault", 20, () -> w.machinesToFail.get() == 0);
    // The last faulty task ends a second after it began; from then on no task fails.
    World.sleep(2000);
    double from = w.seconds();
    w.note("case", "all machines are sound", "machines", w.machines.size(), "missing", missing(w));
    Web.Client user = new Web.Client();
    Random random = new Random();
    boolean complete = false;
    while (!complete && w.seconds() < from + LEFT_WAITING_SECONDS) {
      complete = missing(w).isEmpty();
      if ((int) (w.seconds() * 10) % 100 == 0) {
        w.poll(user, w.anyNode(random), JOB);
        long empty = w.machines.values().stream().filter(m -> m.activeTasks().isEmpty()).count();
        w.note("case", "machines", "empty", empty, "missing", missing(w));
      }
      World.sleep(100);
    }
    w.note("case", "replicas", "complete", complete, "missing", missing(w), "for s",
        String.format("%.1f", w.seconds() - from));
    World.sleep(3000);
    return complete && missing(w).isEmpty() && w.checker.violations.isEmpty();
  }
}
