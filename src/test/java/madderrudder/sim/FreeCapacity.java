package madderrudder.sim;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.TaskId;

/**
 * Counts how many tasks of a job fit into the free capacity of the machines under its placement
 * constraints.
 */
final class FreeCapacity {
  private FreeCapacity() {}

  /**
   * The number of further tasks of the job that fit.
   *
   * @param held the worker that holds each task, for the tasks of all jobs
   */
  static int tasksThatFit(JobSpec job, Map<TaskId, SimWorker> held, List<SimWorker> machines) {
    Map<String, Integer> tasksByZone = new HashMap<>();
    held.forEach(
        (task, machine) -> {
          if (task.job().equals(job.id())) {
            tasksByZone.merge(machine.zone, 1, Integer::sum);
          }
        });
    Map<String, Integer> fittingByZone = new HashMap<>();
    for (SimWorker machine : machines) {
      if (isSuitable(job, machine)
          && (!job.oneZone() || tasksByZone.isEmpty() || tasksByZone.containsKey(machine.zone))) {
        fittingByZone.merge(
            machine.zone, (int) job.resourcesPerTask().timesIn(machine.free()), Integer::sum);
      }
    }
    fittingByZone.replaceAll(
        (zone, tasks) ->
            Math.min(tasks, job.maxTasksPerZone() - tasksByZone.getOrDefault(zone, 0)));
    return job.oneZone()
        ? fittingByZone.values().stream().max(Integer::compare).orElse(0)
        : fittingByZone.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Whether the job may run on the machine, by type, zone and purchase kind. */
  static boolean isSuitable(JobSpec job, SimWorker machine) {
    return (job.machineTypes() == null || job.machineTypes().contains(machine.type))
        && (job.zone() == null || job.zone().equals(machine.zone))
        && (!machine.spot || job.spotAllowed());
  }
}
