package madderrudder.sim;

import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;

/**
 * Builds the jobs that scenarios submit in addition to the random ones. By default, a job is an
 * array of one task of team {@link SimUsers#GUEST_TEAM} with high priority, and may run in any zone
 * and on spot machines.
 */
final class JobSpecBuilder {
  private final String id;
  private final String jobClass;
  private String team = SimUsers.GUEST_TEAM;
  private JobKind kind = JobKind.ARRAY;
  private Priority priority = Priority.HIGH;
  private int tasks = 1;
  private Resources perTask = Resources.of(1, 0, 1);
  private String image = "img-0";
  private double imageGb = 1;
  private String zone;
  private boolean oneZone;
  private long estimateMicros;

  private JobSpecBuilder(String id, String jobClass) {
    this.id = id;
    this.jobClass = jobClass;
  }

  static JobSpecBuilder job(String id, String jobClass) {
    return new JobSpecBuilder(id, jobClass);
  }

  JobSpecBuilder team(String team) {
    this.team = team;
    return this;
  }

  JobSpecBuilder kind(JobKind kind) {
    this.kind = kind;
    return this;
  }

  JobSpecBuilder priority(Priority priority) {
    this.priority = priority;
    return this;
  }

  JobSpecBuilder tasks(int tasks) {
    this.tasks = tasks;
    return this;
  }

  /** The resources of each task. */
  JobSpecBuilder perTask(double cpus, double memoryGb) {
    perTask = Resources.of(cpus, 0, memoryGb);
    return this;
  }

  JobSpecBuilder image(String image, double imageGb) {
    this.image = image;
    this.imageGb = imageGb;
    return this;
  }

  /** The only zone the job may run in, or null for any. */
  JobSpecBuilder zone(String zone) {
    this.zone = zone;
    return this;
  }

  /** Whether all tasks must run in the same zone, which may be any. */
  JobSpecBuilder oneZone(boolean oneZone) {
    this.oneZone = oneZone;
    return this;
  }

  JobSpecBuilder estimateMicros(long estimateMicros) {
    this.estimateMicros = estimateMicros;
    return this;
  }

  JobSpec build() {
    return new JobSpec(
        id,
        jobClass,
        team,
        kind,
        priority,
        tasks,
        perTask,
        image,
        imageGb,
        null,
        zone,
        oneZone,
        false,
        true,
        estimateMicros,
        0,
        0,
        0);
  }
}
