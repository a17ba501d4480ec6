package madderrudder.coordination.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.JobSpec;

/**
 * What is wanted of each class of jobs, as the platform says: the shortest wait for a start, the
 * times after submission by which a job should be complete, and the multiples of its own deadline
 * that count.
 */
public record ServiceLevelObjectives(
    Map<String, Long> waitMicros,
    Map<String, List<Long>> finishMicros,
    Map<String, List<Double>> deadlineTimes) {
  private static final List<Double> ONCE = List.of(1.0);

  public static ServiceLevelObjectives none() {
    return new ServiceLevelObjectives(Map.of(), Map.of(), Map.of());
  }

  /** The shortest wait wanted of any class, and very long where none is. */
  public long shortestWaitMicros() {
    return waitMicros.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
  }

  public boolean wantsPromptStart(JobSpec job) {
    return waitMicros.containsKey(job.jobClass());
  }

  /**
   * When the job should be complete, counted from its submission, soonest first; empty where
   * nothing is said.
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
