package madderrudder.protocol;

import java.util.Set;

/**
 * What a user asked for. {@code types} and {@code zone} are null where anything goes; {@code
 * deadlineMicros} is 0 without a deadline. Memory is in bytes-free units of 1/1000 GB and
 * processors in 1/1000, so that sums are exact.
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    JobKind kind,
    Priority priority,
    int tasks,
    Resources perTask,
    String image,
    double imageGb,
    Set<String> types,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    long estimateMicros,
    long checkpointMicros,
    long saveMicros,
    long deadlineMicros) {

  /** At most this many tasks may share a zone. */
  public int mostPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
