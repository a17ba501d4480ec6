package madderrudder.coordination.state;

import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;

/** The run times of tasks that planning reckons with. Confined to the event loop thread. */
public interface RunTimes {
  /**
   * The run time that was expected of a job's tasks.
   *
   * @param estimate the estimate
   * @param askedMicros when it was made
   */
  record Expected(Estimate estimate, long askedMicros) {}

  /** Learns from a task that has run. */
  void observe(TaskRun run);

  /** The median run time of a task of the job, in microseconds. */
  long expectedMicros(Job job);

  /** The run time that few tasks of the job exceed, in microseconds. */
  long upperBoundMicros(Job job);

  /** The time that the task is expected to run still, in microseconds. */
  long remainingMicros(Assignment assignment, long nowMicros);

  /** Whether the task is nearly certain to end by itself within the time. */
  boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros);

  /** The time that the task has run, as far as this leader knows; 0 if it does not run yet. */
  static long ranMicros(Assignment assignment, long nowMicros) {
    return assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
  }
}
