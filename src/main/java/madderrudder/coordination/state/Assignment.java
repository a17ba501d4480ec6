package madderrudder.coordination.state;

import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskStatus.Phase;

/**
 * A task that is, or may be, on a machine under one attempt number. Times are in microseconds of
 * the leader's monotonic clock. Confined to the event loop thread.
 */
public final class Assignment {
  private static final long NONE = -1;

  /** The task. */
  public final TaskId task;

  /** Its attempt number. */
  public final long attempt;

  /** The machine that it is, or may be, on. */
  public final Machine machine;

  private final TaskAttempt key;

  /** The team of its job. */
  public final String team;

  /** What it uses. */
  public final Resources resources;

  /** Its job; null when the job is over and its description gone. */
  public final Job job;

  /** Placed by an earlier leader, whose commands may still be on their way to the worker. */
  public final boolean inherited;

  /** The segment of the log that names it; null before there is one. */
  public LogReference logReference;

  /** A log segment that names this task is durable, so that it may be started. */
  public boolean durable;

  /** The task must not run here, or no longer. */
  public boolean evicting;

  /** It has completed, and is kept until that is durable. */
  public boolean completed;

  /**
   * The highest fencing token of a start command sent to it directly; -1 for none. That command, or
   * a copy of it, may arrive until the worker has seen a higher token.
   */
  public long directToken = NONE;

  /** A command to start it was sent. */
  public boolean startSent;

  /** The sequence number of the heartbeat whose answer carried the start; -1 for none. */
  public long startSequence = NONE;

  /** The last heartbeat of this epoch that named the task; -1 for none. */
  public long reportedSequence = NONE;

  /** When a stop was last sent; -1 for never. */
  public long stopSentMicros = NONE;

  /** The phase that the worker last reported; null before it has reported the task. */
  public Phase phase;

  /** When this leader placed it, or learned of it. */
  public long placedMicros;

  /** How long the task had waited when it was placed. */
  public long waitedMicros;

  /** Whether the machine had its image when it was placed. */
  public boolean hadImage;

  /** When its record became durable. */
  public long durableMicros;

  /** When its start was last sent. */
  public long startSentMicros;

  /** When it was first reported as running; -1 before. */
  public long runningMicros = NONE;

  /**
   * Makes an assignment that is not yet counted anywhere: see {@link Cluster#addAssignment}.
   *
   * @param job its job, or null if the job is over
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

  /** Records that its worker refused the direct start for good, or that it was never sent. */
  public void startRefused() {
    directToken = NONE;
    startSent = false;
  }

  /**
   * Records that the worker's epoch has ended: its heartbeats no longer count, and no start given
   * in it can arrive any more.
   */
  public void endEpoch() {
    reportedSequence = NONE;
    startSequence = NONE;
    directToken = NONE;
    startSent = false;
  }

  /** Whether the worker has said that it has the task. */
  public boolean reportedByWorker() {
    return phase != null;
  }

  boolean running() {
    return phase == Phase.RUNNING || phase == Phase.WAITING || phase == Phase.SAVING;
  }
}
