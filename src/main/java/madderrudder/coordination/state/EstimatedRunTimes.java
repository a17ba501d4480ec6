package madderrudder.coordination.state;

import madderrudder.estimates.ClassRatios;
import madderrudder.estimates.TaskRun;

/**
 * The owners' guesses, which are often wrong, on some days mostly one way: what tasks of a class
 * took corrects them.
 */
public final class EstimatedRunTimes implements RunTimes {
  private final ClassRatios ratios = new ClassRatios();

  @Override
  public void ran(TaskRun run) {
    ratios.observe(run);
  }

  @Override
  public long expectedMicros(Job job) {
    return ratios.expectedMicros(job.spec.jobClass(), job.spec.estimateMicros());
  }

  @Override
  public long mostMicros(Job job) {
    return expectedMicros(job);
  }

  /** Of one that runs for longer than expected nothing is known. */
  @Override
  public long leftMicros(Assignment assignment, long nowMicros) {
    long expected = expectedMicros(assignment.job);
    long ran = RunTimes.ranMicros(assignment, nowMicros);
    return ran < expected ? expected - ran : ran;
  }

  @Override
  public boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros) {
    return false;
  }
}
