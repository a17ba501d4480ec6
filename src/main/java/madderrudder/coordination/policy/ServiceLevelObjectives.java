package madderrudder.coordination.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.JobSpec;

/**
 * The service-level objectives of each class of jobs, as the platform says. Each map is by the name
 * of the class.
 *
 * @param waitMicros the shortest wait for a start that is wanted, in microseconds
 * @param finishMicros the times after submission by which a job should be complete, in microseconds
 * @param deadlineTimes the multiples of a job's own deadline by which it should be complete; once,
 *     for a class that has none
 */
public record ServiceLevelObjectives(
    Map<String, Long> waitMicros,
    Map<String, List<Long>> finishMicros,
    Map<String, List<Double>> deadlineTimes) {
  private static final List<Double> ONCE = List.of(1.0);

  /** No objectives, for a platform that names none. */
  public static ServiceLevelObjectives none() {
    return new ServiceLevelObjectives(Map.of(), Map.of(), Map.of());
  }

  /**
   * The shortest wait wanted of any class, in microseconds; {@link Long#MAX_VALUE} where none is.
   */
  public long shortestWaitMicros() {
    return waitMicros.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
  }

  /** Whether there is an objective for the time that the job waits for its start. */
  public boolean wantsPromptStart(JobSpec job) {
    return waitMicros.containsKey(job.jobClass());
  }

  /**
   * When the job should be complete, in microseconds from its submission, soonest first; empty
   * where nothing is said.
   */
  public List<Long> dueMicros(JobSpec job) {
    List<Long> due = new ArrayList<>(finishMicros.getOrDefault(job.jobClass(), List.of()));
    if (job.deadlineMicros() > 0) {
      for (double times : deadlineTimes.getOrDefault(job.jobClass(), ONCE)) {
        due.add((long) (times * job.deadlineMicros()));
      }
    }
    due.sort(null);
    return due;
  }
}
