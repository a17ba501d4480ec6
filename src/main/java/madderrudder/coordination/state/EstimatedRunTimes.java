package madderrudder.coordination.state;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.TaskRun;

/**
 * Run times based on the estimates that owners submit with their jobs. These are often wrong, on
 * some days mostly in one direction, so each is corrected by the observed run times of its class.
 */
public final class EstimatedRunTimes implements RunTimes {
  private final ClassRatios ratios = new ClassRatios();

  /** Creates run times that rely on the owners' estimates until tasks have been observed. */
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
   * Returns the rest of the expected run time. A task that has already run longer than expected is
   * assumed to run for as long again, because there is no better estimate.
   */
  @Override
  public long remainingMicros(Assignment assignment, long nowMicros) {
    long expected = expectedMicros(assignment.job);
    long elapsed = RunTimes.ranMicros(assignment, nowMicros);
    return elapsed < expected ? expected - elapsed : elapsed;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    return false;
  }
}
