import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The first four machines that are rented for a job are faulty and go back; nothing follows. */
final class NeverRentedAgain {
  private static final int FAULTY = 4;
  private static final int TASKS = 64;
  private static final double LEFT_WAITING_SECONDS = 90;
  private static final String JOB = "req-000001";

  public static void main(String[] args) {
    World.main(args, NeverRentedAgain::run);
  }

  static boolean run(World w) throws Exception {
    w.begin(8);
    Set<Machine> first = ConcurrentHashMap.newKeySet();
    w.cloud.boots = machine -> first.size() >= FAULTY || !first.add(machine);
    w.startAll();
    w.await("all controllers are healthy", 30, () -> w.members.stream().allMatch(w::isHealthy));
    Map<String, Object> job = w.newJob(JOB, "array", TASKS, 1, 5);
    if (!w.submitUntilAccepted(job, 20)) {
      throw new World.CannotRun("the job is not accepted");
    }
    w.await("four machines are rented", 20, () -> first.size() == FAULTY);
    for (Machine machine : first) {
      machine.failsAfterSeconds = World.TROUBLE ? 0.5 : -1;
    }
    first.forEach(w.cloud::up);
    if (World.TROUBLE) {
      w.await("the faulty machines are returned", 60, () -> first.stream().allMatch(Machine::isGone));
    }
    double from = w.seconds();
    int starts = w.checker.starts;
    w.note("case", "no faulty machine is left", "starts", starts);
    if (from + LEFT_WAITING_SECONDS > 117) {
      throw new World.CannotRun("too late to wait for 90 s");
    }
    boolean done = w.within(LEFT_WAITING_SECONDS, () -> w.checker.allDone(JOB));
    Web.Client user = new Web.Client();
    w.poll(user, w.members.get(0), JOB);
    w.note("case", "the job", "done", done, "starts since", w.checker.starts - starts, "after s",
        String.format("%.1f", w.seconds() - from));
    return done && w.checker.violations.isEmpty();
  }
}
