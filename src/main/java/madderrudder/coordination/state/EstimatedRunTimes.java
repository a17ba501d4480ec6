package madderrudder.coordination.state;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.TaskRun;

/**
 * Run times taken from the estimates that owners give with their jobs. These are often wrong, on
 * some days mostly in one direction, so that each is corrected by what tasks of its class took.
 */
public final class EstimatedRunTimes implements RunTimes {
  private final ClassRatios ratios = new ClassRatios();

  /** Makes run times that rely on the owners' estimates until tasks have been observed. */
  public EstimatedRunTimes() {}

  @Override
  public void observe(TaskRun run) {
    ratios.observe(run);
  }

  @Override
  public long expectedMicros(Job job) {
    return ratios.expectedMicros(job.spec.jobClass(), job.spec.estimateMicros());
  }

  @Override
  public long upperBoundMicros(Job job) {
    return expectedMicros(job);
  }

  /**
   * A task that has run for longer than expected is taken to run as long again: nothing better is
   * known of it.
   */
  @Override
  public long remainingMicros(Assignment assignment, long nowMicros) {
    long expected = expectedMicros(assignment.job);
    long ran = RunTimes.ranMicros(assignment, nowMicros);
    return ran < expected ? expected - ran : ran;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    return false;
  }
}
