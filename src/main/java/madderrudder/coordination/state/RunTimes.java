package madderrudder.coordination.state;

import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;

/** Predicts the run times of tasks for planning. Confined to the event loop thread. */
public interface RunTimes {
  /**
   * An estimate of the run time of a job's tasks.
   *
   * @param estimate the estimate
   * @param estimatedAtMicros when the estimate was made
   */
  record Expected(Estimate estimate, long estimatedAtMicros) {}

  /** Updates the predictions with the run of a task. */
  void observe(TaskRun run);

  /** The median run time of a task of the job, in microseconds. */
  long expectedMicros(Job job);

  /** The run time that only few tasks of the job exceed, in microseconds. */
  long upperBoundMicros(Job job);

  /** The time for which the task is expected to keep running, in microseconds. */
  long remainingMicros(Assignment assignment, long nowMicros);

  /** Whether the task is nearly certain to end by itself within the given time. */
  boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros);

  /** How long the task has run, as observed by this leader; 0 if it is not running yet. */
  static long ranMicros(Assignment assignment, long nowMicros) {
    return assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
  }
}
