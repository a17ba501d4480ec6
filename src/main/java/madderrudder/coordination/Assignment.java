package madderrudder.coordination;

import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskReport.Phase;

/** A task that is, or may be, on a machine under one attempt number. */
public final class Assignment {
    final TaskId task;
    final long attempt;
    final Machine machine;
    private final Machine.Key key;
    final String team;
    final Resources takes;
    /** Null when the job is over and its description gone. */
    final Job job;
    /** Written by an earlier leader, whose commands may still be on the way to the worker. */
    final boolean inherited;
    /** The page of the log that names it, once one does. */
    FleetLog.Page page;
    /** A page that names this task is durable, so it may be started. */
    boolean durable;
    /** The task shall not run here (any more). */
    boolean unwanted;
    /** Completed, and kept until that is durable. */
    boolean completed;
    /** A direct start whose fate is unknown: it may still arrive, as long as session and token last. */
    boolean directOpen;
    boolean startSent;
    /** The answer to the report with this sequence number carried the start. */
    long startSeq = -1;
    /** The last report of this session that named the task. */
    long reportedSeq = -1;
    long stopSentMicros = -1;
    Phase phase;
    long placedMicros;
    /** How long the task had waited when it was placed, and whether the machine had its image. */
    long waitedMicros;
    boolean hadImage;
    long durableMicros;
    long toldMicros;
    long runningMicros = -1;

    Assignment(TaskId task, long attempt, Machine machine, String team, Resources takes, Job job, boolean inherited,
            long nowMicros) {
        this.task = task;
        this.attempt = attempt;
        this.machine = machine;
        key = new Machine.Key(task, attempt);
        this.team = team;
        this.takes = takes;
        this.job = job;
        this.inherited = inherited;
        this.placedMicros = nowMicros;
    }

    Machine.Key key() {
        return key;
    }

    /** Whether the worker has said that it has the task. */
    boolean seen() {
        return phase != null;
    }

    boolean running() {
        return phase == Phase.RUNNING || phase == Phase.WAITING || phase == Phase.SAVING;
    }
}
