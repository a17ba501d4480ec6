package madderrudder.coordination.state;

import madderrudder.estimates.Estimate;
import madderrudder.estimates.TaskRun;

/** What the planner takes the run times of tasks to be. */
public interface RunTimes {
  /** What a job was expected to take, and when that was asked. */
  record Expected(Estimate estimate, long askedMicros) {}

  /** A task has run. */
  void ran(TaskRun run);

  /** How long a task of the job takes: as likely less as more. */
  long expectedMicros(Job job);

  /** How long a task of the job takes at most, but for few. */
  long mostMicros(Job job);

  /** How long it is expected to run still. */
  long leftMicros(Assignment assignment, long nowMicros);

  /** Whether it is nearly sure to end within the time by itself. */
  boolean endsWithin(Assignment assignment, long nowMicros, long withinMicros);

  /** For how long it runs already, as far as is known here. */
  static long ranMicros(Assignment assignment, long nowMicros) {
    return assignment.runningMicros < 0 ? 0 : nowMicros - assignment.runningMicros;
  }
}
