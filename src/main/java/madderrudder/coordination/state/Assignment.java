package madderrudder.coordination.state;

import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskStatus.Phase;

/**
 * An attempt of a task that is, or may be, on a machine. Times are in microseconds of the leader's
 * monotonic clock. Confined to the event loop thread.
 */
public final class Assignment {
  private static final long NONE = -1;

  /** The task. */
  public final TaskId task;

  /** Its attempt number. */
  public final long attempt;

  /** The machine on which the attempt is or may be. */
  public final Machine machine;

  private final TaskAttempt key;

  /** The team that owns its job. */
  public final String team;

  /** The resources that it uses. */
  public final Resources resources;

  /** Its job; null if the job has ended and its description is no longer kept. */
  public final Job job;

  /** Whether an earlier leader placed it, whose commands to the worker may still be in flight. */
  public final boolean inherited;

  /** The log segment that contains it; null until it is written. */
  public LogReference logReference;

  /** Whether a log segment that contains it is durable, so that the task may be started. */
  public boolean durable;

  /** Whether the task must be stopped, or never started, on this machine. */
  public boolean evicting;

  /** Whether the task has completed; the assignment is kept until the completion is durable. */
  public boolean completed;

  /**
   * The highest fencing token of a start command that was sent for it directly rather than in a
   * heartbeat answer; -1 for none. That command, or a copy of it, may arrive until the worker has
   * seen a higher token.
   */
  public long directToken = NONE;

  /** Whether a start command was sent for it. */
  public boolean startSent;

  /** The sequence number of the heartbeat whose answer contained the start; -1 for none. */
  public long startSequence = NONE;

  /** The sequence number of the last heartbeat of this epoch with the task; -1 for none. */
  public long reportedSequence = NONE;

  /** When a stop was last sent; -1 if never. */
  public long stopSentMicros = NONE;

  /** The phase that the worker last reported; null before it has reported the task. */
  public Phase phase;

  /** When this leader placed it, or read it from the log. */
  public long placedMicros;

  /** How long the task had been waiting when it was placed. */
  public long waitedMicros;

  /** Whether the image was expected to be in the cache of the machine when it was placed. */
  public boolean hadImage;

  /** When its record became durable. */
  public long durableMicros;

  /** When its start was last sent. */
  public long startSentMicros;

  /** When it was first reported as running; -1 until then. */
  public long runningMicros = NONE;

  /**
   * Creates an assignment that is not yet counted anywhere: see {@link Cluster#addAssignment}.
   *
   * @param job its job, or null if the job has ended
   * @param inherited whether an earlier leader placed it
   */
  public Assignment(
      TaskId task,
      long attempt,
      Machine machine,
      String team,
      Resources resources,
      Job job,
      boolean inherited,
      long nowMicros) {
    this.task = task;
    this.attempt = attempt;
    this.machine = machine;
    key = new TaskAttempt(task, attempt);
    this.team = team;
    this.resources = resources;
    this.job = job;
    this.inherited = inherited;
    this.placedMicros = nowMicros;
  }

  /** The task and its attempt number. */
  public TaskAttempt key() {
    return key;
  }

  /**
   * Records that the worker refused the direct start for good, or that the start was never sent.
   */
  public void recordStartRefused() {
    directToken = NONE;
    startSent = false;
  }

  /**
   * Records that the worker's epoch has ended: its heartbeats no longer count, and no start sent in
   * it can take effect any more.
   */
  public void endEpoch() {
    reportedSequence = NONE;
    startSequence = NONE;
    directToken = NONE;
    startSent = false;
  }

  /** Whether the worker has reported the task to this leader. */
  public boolean reportedByWorker() {
    return phase != null;
  }

  /**
   * Returns for how long its worker has reported the task as running, up to the last heartbeat; 0
   * if the task is not running. A machine that is silent adds nothing, because it may hang.
   */
  long reportedRunMicros() {
    return phase == Phase.RUNNING && runningMicros >= 0 && !completed
        ? Math.max(0, machine.heartbeatMicros - runningMicros)
        : 0;
  }

  /**
   * Whether the worker reports the task as running, waiting for its gang or saving a checkpoint.
   */
  boolean running() {
    return phase == Phase.RUNNING || phase == Phase.WAITING || phase == Phase.SAVING;
  }
}
