package madderrudder.coordination.heartbeat;

import java.util.List;
import madderrudder.coordination.policy.FencingToken;
import madderrudder.coordination.policy.TeamQuota;
import madderrudder.coordination.state.Assignment;
import madderrudder.coordination.state.Job;
import madderrudder.coordination.state.Machine;
import madderrudder.protocol.Heartbeat;
import madderrudder.protocol.JobKind;
import madderrudder.protocol.JobSpec;
import madderrudder.protocol.MachineType;
import madderrudder.protocol.Priority;
import madderrudder.protocol.Resources;
import madderrudder.protocol.TaskId;
import madderrudder.protocol.TaskStatus;
import madderrudder.protocol.TaskStatus.ExitReason;
import madderrudder.protocol.TaskStatus.Phase;

/**
 * A machine in the cluster state of a leader in {@link #TERM}. Its newest heartbeat, with the epoch
 * {@link #EPOCH} and the sequence number {@link #SEQUENCE}, has been applied.
 */
final class MachineFixture {
  static final long TERM = 7;
  static final long SECOND_MICROS = 1_000_000;
  static final long EPOCH = 3;
  static final long SEQUENCE = 5;
  static final long ATTEMPT = 11;

  private static final MachineType MACHINE_TYPE =
      new MachineType(
          "box",
          Resources.of(4, 0, 16),
          30,
          1,
          1.0,
          0.3,
          10 * SECOND_MICROS,
          List.of("east", "west"));

  final Machine machine = new Machine("m-0", MACHINE_TYPE, "east", false, true, 0, 0);

  MachineFixture() {
    machine.address = "10.0.1.1:80";
    machine.reported = true;
    machine.epoch = EPOCH;
    machine.sequence = SEQUENCE;
    machine.seenToken = FencingToken.firstOfTerm(TERM);
    machine.issuedToken = FencingToken.firstOfTerm(TERM);
  }

  /**
   * Returns a job; if {@code checkpoints}, its tasks write checkpoints, each taking two seconds.
   */
  static Job job(boolean checkpoints) {
    JobSpec spec =
        new JobSpec(
            "req-1",
            "class",
            "alto",
            JobKind.ARRAY,
            Priority.NORMAL,
            1_000,
            Resources.of(1, 0, 1),
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            30 * SECOND_MICROS,
            checkpoints ? 10 * SECOND_MICROS : 0,
            checkpoints ? 2 * SECOND_MICROS : 0,
            0);
    return new Job(spec, new TeamQuota("alto", Resources.NONE, Resources.NONE), 1, 0, 0);
  }

  /** Adds a durable record of a task that the worker has not reported. */
  Assignment place(Job job, int index, boolean inherited) {
    Assignment assignment =
        new Assignment(
            task(index),
            ATTEMPT,
            machine,
            job.spec.team(),
            job.spec.resourcesPerTask(),
            job,
            inherited,
            0);
    assignment.durable = true;
    machine.assignments.put(assignment.key(), assignment);
    return assignment;
  }

  /** Adds a durable record of a task that the newest heartbeat reports as running. */
  Assignment placeReported(Job job, int index) {
    Assignment assignment = place(job, index, false);
    assignment.reportedSequence = SEQUENCE;
    assignment.phase = Phase.RUNNING;
    return assignment;
  }

  static TaskId task(int index) {
    return new TaskId("req-1", index);
  }

  static TaskStatus taskStatus(int index, Phase phase) {
    return new TaskStatus(
        task(index), ATTEMPT, phase, phase == Phase.EXITED ? ExitReason.DONE : null, false);
  }

  /** Returns the newest applied heartbeat, with the given tasks. */
  Heartbeat newestHeartbeat(TaskStatus... tasks) {
    return heartbeat(EPOCH, SEQUENCE, tasks);
  }

  Heartbeat heartbeat(long epoch, long sequence, TaskStatus... tasks) {
    return new Heartbeat(
        machine.id,
        machine.address,
        "box",
        "east",
        false,
        epoch,
        sequence,
        machine.seenToken,
        -1,
        List.of(tasks));
  }
}
