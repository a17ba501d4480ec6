import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A gang loses a machine and waits; another team's job then waits beside empty machines. */
final class GangBlocks {
  private static final double LEFT_WAITING_SECONDS = 90;
  private static final String SERVICE = "req-000001";
  private static final String GANG = "req-000002";
  private static final String JOB = "req-000003";

  public static void main(String[] args) {
    World.main(args, GangBlocks::run);
  }

  private static void accept(World w, Map<String, Object> job) {
    if (!w.submitUntilAccepted(job, 20)) {
      throw new World.CannotRun(job.get("id") + " is not accepted");
    }
  }

  private static boolean on(World w, String job, int tasks) {
    for (int i = 0; i < tasks; i++) {
      if (w.checker.machineOf(job + "/" + i) == null) {
        return false;
      }
    }
    return true;
  }

  static boolean run(World w) throws Exception {
    w.reportSeconds = 1.5;
    w.leaseSeconds = 10;
    w.cancelSeconds = 35;
    w.begin(0);
    List<Machine> all = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      all.add(w.cloud.add(w.zones.get(i % 2), false, 0));
    }
    w.startAll();
    w.await("all controllers are healthy", 30, () -> w.members.stream().allMatch(w::isHealthy));
    World.sleep(1000);
    Map<String, Object> service = w.newJob(SERVICE, "service", 1, 12, 0);
    service.put("crew", "taitto-01");
    accept(w, service);
    w.await("the service runs", 20, () -> on(w, SERVICE, 1));
    Map<String, Object> gang = w.newJob(GANG, "gang", 3, 10, 300);
    gang.put("rank", "urgent");
    accept(w, gang);
    w.await("the gang runs", 20, () -> on(w, GANG, 3));
    World.sleep(500);
    if (World.TROUBLE) {
      w.cloud.fail(w.checker.machineOf(GANG + "/2").id);
      w.await("the gang has ended everywhere", 20, () -> w.checker.machineOf(GANG + "/0") == null);
    }
    // The lease of the stopped machine's worker, its margin, and a little more.
    World.sleep(12_500);
    Map<String, Object> job = w.newJob(JOB, "array", 2, 5, 4);
    job.put("crew", "taitto-01");
    accept(w, job);
    double from = w.seconds();
    Web.Client user = new Web.Client();
    Random random = new Random();
    boolean begun = false;
    while (!begun && w.seconds() < from + LEFT_WAITING_SECONDS) {
      begun = w.checker.machineOf(JOB + "/0") != null || w.checker.allDone(JOB);
      if ((int) (w.seconds() * 10) % 100 == 0) {
        w.poll(user, w.anyNode(random), JOB);
        long empty = all.stream().filter(m -> !m.isGone() && m.activeTasks().isEmpty()).count();
        w.note("case", "machines", "empty", empty);
      }
      World.sleep(100);
    }
    boolean done = w.within(begun ? 10 : 0.1, () -> w.checker.allDone(JOB));
    w.note("case", "the job", "begun", begun, "done", done, "after s",
        String.format("%.1f", w.seconds() - from));
    if (!begun && w.seconds() < 114) {
      // For the record only: what the job waited for.
      w.withdraw(user, w.leader(), GANG);
      boolean begins = w.within(2, () -> w.checker.machineOf(JOB + "/0") != null);
      w.note("case", "once the gang is called off", "the job begins", begins);
    }
    return done && w.checker.violations.isEmpty();
  }
}
