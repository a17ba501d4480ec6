package madderrudder.coordination.state;

import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskStatus.Phase;

/** A task that is, or may be, on a machine under one attempt number. */
public final class Assignment {
  private static final long NOT_SENT = -1;

  public final TaskId task;
  public final long attempt;
  public final Machine machine;
  private final Machine.TaskAttempt key;
  public final String team;
  public final Resources resources;

  /** Null when the job is over and its description gone. */
  public final Job job;

  /** Written by an earlier leader, whose commands may still be on the way to the worker. */
  public final boolean inherited;

  /** The page of the log that names it, once one does. */
  public LogReference logReference;

  /** A page that names this task is durable, so it may be started. */
  public boolean durable;

  /** The task shall not run here (any more). */
  public boolean evicting;

  /** Completed, and kept until that is durable. */
  public boolean completed;

  /**
   * The highest token of a direct start: that, or a copy, may arrive until the worker has seen a
   * higher one.
   */
  public long directToken = NOT_SENT;

  public boolean startSent;

  /** The answer to the report with this sequence number carried the start. */
  public long startSeq = -1;

  /** The last report of this session that named the task. */
  public long reportedSeq = -1;

  public long stopSentMicros = -1;
  public Phase phase;
  public long placedMicros;

  /** How long the task had waited when it was placed, and whether the machine had its image. */
  public long waitedMicros;

  public boolean hadImage;
  public long durableMicros;
  public long toldMicros;
  public long runningMicros = -1;

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
    key = new Machine.TaskAttempt(task, attempt);
    this.team = team;
    this.resources = resources;
    this.job = job;
    this.inherited = inherited;
    this.placedMicros = nowMicros;
  }

  public Machine.TaskAttempt key() {
    return key;
  }

  /** Its worker refused the direct start for good, or it never left. */
  public void startRefused() {
    directToken = NOT_SENT;
    startSent = false;
  }

  /**
   * The worker's session has ended: what its reports said is over, and no start given in it can
   * arrive any more.
   */
  public void endSession() {
    reportedSeq = -1;
    startSeq = -1;
    directToken = NOT_SENT;
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
