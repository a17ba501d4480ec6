package madderrudder.coordination.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import madderrudder.protocol.JobSpec;

/**
 * The platform's service-level objectives for each class of jobs. The key of each map is the name
 * of the class.
 *
 * @param waitMicros the strictest objective for the wait until a job starts, in microseconds
 * @param finishMicros the times after submission by which a job should be complete, in microseconds
 * @param deadlineMultiples the multiples of a job's own deadline by which it should be complete; a
 *     class without an entry has the single multiple 1
 */
public record ServiceLevelObjectives(
    Map<String, Long> waitMicros,
    Map<String, List<Long>> finishMicros,
    Map<String, List<Double>> deadlineMultiples) {
  private static final List<Double> OWN_DEADLINE_ONLY = List.of(1.0);

  /** Returns empty objectives, for a platform that defines none. */
  public static ServiceLevelObjectives none() {
    return new ServiceLevelObjectives(Map.of(), Map.of(), Map.of());
  }

  /**
   * Returns the strictest wait objective of all classes, in microseconds; {@link Long#MAX_VALUE} if
   * there is none.
   */
  public long shortestWaitMicros() {
    return waitMicros.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
  }

  /** Whether the job's class has an objective for the wait until the job starts. */
  public boolean hasWaitObjective(JobSpec job) {
    return waitMicros.containsKey(job.jobClass());
  }

  /**
   * Returns the times by which the job should be complete, in microseconds after its submission,
   * earliest first; empty if there is no such objective.
   */
  public List<Long> dueOffsetsMicros(JobSpec job) {
    List<Long> dueOffsets = new ArrayList<>(finishMicros.getOrDefault(job.jobClass(), List.of()));
    if (job.deadlineMicros() > 0) {
      for (double multiple : deadlineMultiples.getOrDefault(job.jobClass(), OWN_DEADLINE_ONLY)) {
        dueOffsets.add((long) (multiple * job.deadlineMicros()));
      }
    }
    dueOffsets.sort(null);
    return dueOffsets;
  }
}
