import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** The gangs' tasks, which find each other by their attempt number. */
final class Gangs {
  private static final class Gang {
    final Map<String, Machine> members = new TreeMap<>();
    boolean running;
    boolean complete;
  }

  private final World world;
  private final Map<String, Gang> gangs = new HashMap<>();

  Gangs(World world) {
    this.world = world;
  }

  private Gang gang(String stroke, long launch) {
    return gangs.computeIfAbsent(World.jobOf(stroke) + "@" + launch, key -> new Gang());
  }

  private void later(Runnable action) {
    world.timer.schedule(action, 1, TimeUnit.MILLISECONDS);
  }

  synchronized void join(String stroke, long launch, Machine machine) {
    Gang gang = gang(stroke, launch);
    gang.members.put(stroke, machine);
    if (!gang.running && gang.members.size() == J.num(world.job(stroke).get("strokes"), 0)) {
      gang.running = true;
      gang.members.forEach((task, host) -> later(() -> host.gangRuns(task, launch)));
    }
  }

  synchronized void leave(String stroke, long launch) {
    Gang gang = gang(stroke, launch);
    gang.members.remove(stroke);
    if (gang.running && !gang.complete) {
      gang.members.forEach((task, host) -> later(() -> host.gangBroken(task, launch)));
    }
  }

  synchronized void complete(String stroke, long launch) {
    Gang gang = gang(stroke, launch);
    gang.complete = true;
    long tasks = J.num(world.job(stroke).get("strokes"), 0);
    for (long index = 0; index < tasks; index++) {
      world.checker.done(World.jobOf(stroke) + "/" + index);
    }
    gang.members.forEach(
        (task, host) -> {
          if (!task.equals(stroke)) {
            later(() -> host.gangDone(task, launch));
          }
        });
  }
}
