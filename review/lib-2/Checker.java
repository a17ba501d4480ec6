import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The rules of the protocol, judged by what clients, workers and the platform see. */
final class Checker {
  private final World world;
  private final Map<String, Machine> on = new HashMap<>();
  private final Set<String> done = new HashSet<>();
  private final Map<String, Long> acceptedNanos = new HashMap<>();
  private final Map<String, Long> doneNanos = new HashMap<>();
  private final Map<String, Long> cancelledNanos = new HashMap<>();
  private final Set<String> cancelAsked = new HashSet<>();
  private final Set<String> reported = new HashSet<>();
  final List<String> violations = new ArrayList<>();
  int starts;

  Checker(World world) {
    this.world = world;
    Web.daemon("checker", this::watchCancelled);
  }

  private synchronized void broken(String rule, String detail) {
    if (reported.add(rule + detail)) {
      violations.add(rule + ": " + detail);
      world.note("checker", "BROKEN " + rule, "detail", detail);
    }
  }

  synchronized void started(String task, Machine machine) {
    starts++;
    String jobId = World.jobOf(task);
    Map<String, Object> job = world.jobs.get(jobId);
    world.note(machine.id, "on machine", "task", task);
    Machine other = on.put(task, machine);
    if (other != null && other != machine) {
      broken("ran_twice", task + " starts on " + machine.id + " while on " + other.id);
    }
    Long told = cancelledNanos.get(jobId);
    if (told != null && System.nanoTime() - told > world.cancelSeconds * 1e9) {
      broken("ran_cancelled", task + " starts on " + machine.id);
    }
    Object builds = job.get("builds");
    if (builds != null && !((List<?>) builds).contains(machine.type.name())) {
      broken("wrong_place", task + " on " + machine.id + " of type " + machine.type.name());
    }
    if (job.get("berth") != null && !job.get("berth").equals(machine.zone)
        || machine.spot && !Boolean.TRUE.equals(job.get("driftwood"))) {
      broken("wrong_place", task + " on " + machine.id + " in " + machine.zone);
    }
    int same = 0;
    double cores = 0;
    for (Map.Entry<String, Machine> entry : on.entrySet()) {
      Map<String, Object> otherJob = world.jobs.get(World.jobOf(entry.getKey()));
      if (otherJob.get("crew").equals(job.get("crew"))) {
        cores += J.dec(otherJob.get("cores"), 0);
      }
      if (World.jobOf(entry.getKey()).equals(jobId)) {
        if (entry.getValue().zone.equals(machine.zone)) {
          same++;
        } else if (Boolean.TRUE.equals(job.get("one_zone"))) {
          broken("wrong_place", task + " in a second zone");
        }
      }
    }
    long strokes = J.num(job.get("strokes"), 0);
    if (Boolean.TRUE.equals(job.get("apart")) && same > (strokes + 1) / 2) {
      broken("wrong_place", task + ": " + same + " of " + strokes + " in " + machine.zone);
    }
    if (cores > world.limitCores + 1e-9) {
      broken("quota", job.get("crew") + " uses " + cores + " with " + task);
    }
  }

  synchronized void left(String task, Machine machine, String why) {
    on.remove(task, machine);
    world.note(machine.id, "off machine", "task", task, "why", why);
  }

  synchronized void done(String task) {
    done.add(task);
  }

  synchronized boolean isDone(String task) {
    return done.contains(task);
  }

  synchronized boolean allDone(String job) {
    long strokes = J.num(world.jobs.get(job).get("strokes"), 0);
    for (long i = 0; i < strokes; i++) {
      if (!done.contains(job + "/" + i)) {
        return false;
      }
    }
    return true;
  }

  synchronized Machine machineOf(String task) {
    return on.get(task);
  }

  synchronized void cancelAsked(String job) {
    cancelAsked.add(job);
  }

  synchronized boolean toldDone(String job) {
    return doneNanos.containsKey(job);
  }

  synchronized boolean toldCancelled(String job) {
    return cancelledNanos.containsKey(job);
  }

  synchronized boolean toldAccepted(String job) {
    return acceptedNanos.containsKey(job);
  }

  /** Judges an answer about a job to a request that was sent at a time. */
  synchronized void answered(String job, boolean submission, int status, String body, long sent) {
    boolean accepted = acceptedNanos.getOrDefault(job, Long.MAX_VALUE) < sent;
    if (accepted && (status == 404 || submission && (status == 400 || status == 422))) {
      broken("forgotten", job + " was answered with " + status);
    }
    if (status != 200 && status != 201) {
      return;
    }
    if (!world.jobs.containsKey(job)) {
      broken("invented", job + " was answered with " + status);
      return;
    }
    long now = System.nanoTime();
    acceptedNanos.putIfAbsent(job, now);
    String trim = (String) J.object(body).get("trim");
    boolean isDone = "done".equals(trim);
    boolean isCancelled = "aborted".equals(trim);
    if (doneNanos.getOrDefault(job, Long.MAX_VALUE) < sent && !isDone
        || cancelledNanos.getOrDefault(job, Long.MAX_VALUE) < sent && !isCancelled
        || isCancelled && !cancelAsked.contains(job)) {
      broken("went_back", job + " is called " + trim);
    }
    if (isDone) {
      doneNanos.putIfAbsent(job, now);
      if (!allDone(job)) {
        broken("not_done", job);
      }
    }
    if (isCancelled) {
      cancelledNanos.putIfAbsent(job, now);
    }
  }

  private void watchCancelled() {
    while (true) {
      World.sleep(100);
      synchronized (this) {
        long now = System.nanoTime();
        for (String task : List.copyOf(on.keySet())) {
          Long told = cancelledNanos.get(World.jobOf(task));
          if (told != null && now - told > world.cancelSeconds * 1e9) {
            broken("ran_cancelled", task + " is on " + on.get(task).id);
          }
        }
      }
    }
  }
}
